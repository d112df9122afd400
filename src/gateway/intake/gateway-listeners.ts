import {
	startPeerListener,
	type PeerListener,
	type PeerListenerOptions,
} from '../../mesh/index.ts';
import type {CallerLimits} from '../../routes/index.ts';
import {
	startCallerListener,
	type CallerListener,
	type CallerListenerOptions,
} from './caller-listener.ts';

/**
Where a node takes calls: of other nodes and of callers.
*/
export type GatewayListeners = {
	start(): Promise<void>;
	/**
	Takes over the bounds on callers of a new configuration.
	*/
	setLimits(limits: CallerLimits): void;
	/**
	Closes connections of callers as they become idle, and takes no new ones.
	*/
	drain(): void;
	close(): Promise<void>;
};

/**
What the listeners are built from.
*/
export type GatewayListenersOptions = {
	readonly peers: PeerListenerOptions;
	readonly callers: Omit<CallerListenerOptions, 'limits'>;
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
	let front: CallerListener | undefined;
	let peers: PeerListener | undefined;

	return {
		async start() {
			peers = await startPeerListener(options.peers);
			front = await startCallerListener({...options.callers, limits});
			front.setLimits(limits);
		},
		setLimits(given) {
			limits = given;
			front?.setLimits(limits);
		},
		drain() {
			front?.drain();
		},
		async close() {
			await Promise.all([front?.close(), peers?.close()]);
		},
	};
};
