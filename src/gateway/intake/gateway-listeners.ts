import {
	startPeerListener,
	type PeerListener,
	type PeerListenerOptions,
} from '../../mesh/index.ts';
import type {CallerLimits} from '../../routes/index.ts';
import {
	startFrontListener,
	type FrontListener,
	type FrontListenerOptions,
} from './front-listener.ts';

/**
Where a node takes calls: of other nodes and of callers.
*/
export type GatewayListeners = {
	start(): Promise<void>;
	/**
	Takes over the bounds on callers of a new configuration.
	*/
	limit(limits: CallerLimits): void;
	/**
	Closes connections of callers as they become idle, and takes no new ones.
	*/
	finish(): void;
	close(): Promise<void>;
};

/**
What the listeners are built from.
*/
export type GatewayListenersOptions = {
	readonly peers: PeerListenerOptions;
	readonly callers: Omit<FrontListenerOptions, 'limits'>;
};

// Bounds on callers before the first configuration is known; no request is served until then.
const initialLimits: CallerLimits = {
	maximumHeaderBytes: 65_536,
	maximumBodyBytes: 16_777_216,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 60_000,
};

/**
Builds the listeners of one node; nothing is listened to before `start`.
*/
export const createGatewayListeners = (
	options: GatewayListenersOptions,
): GatewayListeners => {
	// The first routes may come before the listener for callers is up.
	let limits = initialLimits;
	let front: FrontListener | undefined;
	let peers: PeerListener | undefined;

	return {
		async start() {
			peers = await startPeerListener(options.peers);
			front = await startFrontListener({...options.callers, limits});
			front.limit(limits);
		},
		limit(given) {
			limits = given;
			front?.limit(limits);
		},
		finish() {
			front?.finish();
		},
		async close() {
			await Promise.all([front?.close(), peers?.close()]);
		},
	};
};
