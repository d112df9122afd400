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
Listeners of a node: for other nodes and for callers.
*/
export type GatewayListeners = {
	start(): Promise<void>;
	/**
	Applies the caller limits of a new configuration.
	*/
	setLimits(limits: CallerLimits): void;
	/**
	Stops accepting connections of callers and closes open ones as they become idle.
	*/
	drain(): void;
	close(): Promise<void>;
};

/**
Options of `createGatewayListeners`.
*/
export type GatewayListenersOptions = {
	readonly peers: PeerListenerOptions;
	readonly callers: Omit<CallerListenerOptions, 'limits'>;
};

// Limits that apply until the first configuration is known; no request is served before.
const initialLimits: CallerLimits = {
	maximumHeaderBytes: 65_536,
	maximumBodyBytes: 16_777_216,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 60_000,
};

/**
Creates the listeners of one node; `start` opens them.
*/
export const createGatewayListeners = (
	options: GatewayListenersOptions,
): GatewayListeners => {
	// The first routes may arrive before the listener for callers is started.
	let limits = initialLimits;
	let front: CallerListener | undefined;
	let peers: PeerListener | undefined;

	return {
		async start() {
			peers = await startPeerListener(options.peers);
			front = await startCallerListener({...options.callers, limits});
			front.setLimits(limits);
		},
		setLimits(newLimits) {
			limits = newLimits;
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
