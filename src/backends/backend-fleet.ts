import type {KnownServer} from '../registry/index.ts';
import {estimatedPeerRequests, estimatedLoad} from './estimated-load.ts';
import {beginAttempt, type BackendAttempt} from './backend-attempt.ts';
import {chooseServer, type LocalChoice} from './choose-server.ts';
import type {Placement} from './placement.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {createPrefillSpeed, type PrefillSpeed} from './prefill-speed.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';
import {
	createServerState,
	probeAnswerDeadlineMs,
	maximumSilenceMs,
	shiftTimes,
	silenceThresholdMs,
	silentFor,
	type ServerState,
} from './server-state.ts';

/**
Load and room of a service in the own region.
*/
export type ServiceLoad = {readonly load: number; readonly slots: number};

/**
What another node says of one server.
*/
export type PrefillBacklogReport = {
	/**
	One life of the node.
	*/
	readonly from: string;
	readonly server: string;
	readonly tokens: number;
	/**
	Rises with each message of the node.
	*/
	readonly sequence: number;
};

/**
What this node knows of the backend servers of its region.
*/
export type BackendFleet = {
	/**
	Takes in the servers of the own region that may be used, by their ids. A server that has started again under
	its id is as one that was never seen.

	@returns Ids of those that have.
	*/
	sync(
		servers: ReadonlyMap<string, KnownServer>,
		now: number,
	): readonly string[];
	choose(placement: Placement, now: number): LocalChoice;
	begin(id: string, placement: Placement, now: number): BackendAttempt;
	server(id: string): KnownServer['server'] | undefined;
	/**
	Finds servers that have gone silent with requests under way and do not say that they live.
	*/
	tick(now: number): readonly string[];
	/**
	Servers that are to be asked for their health now.
	*/
	dueProbes(now: number): readonly string[];
	/**
	Takes in a health answer; without remaining cold time the health check failed.
	*/
	recordProbeResult(id: string, coldMs: number | undefined, now: number): void;
	/**
	The server answered a question for its health, whatever it said.
	*/
	recordProbeAnswer(id: string, now: number): void;
	/**
	Another node of the region has told how many tokens of its long prompts a server has still to read.
	*/
	recordPeerPrefillBacklog(reading: PrefillBacklogReport, now: number): void;
	/**
	Takes it that servers may have turned cold; they are asked before they get their full share.
	*/
	markPossiblyCold(ids: readonly string[]): void;
	/**
	A connection to the server could not be had, or its silence was noticed.
	*/
	suspect(id: string, now: number): void;
	/**
	The machine was suspended, or the clock leapt: what servers owe, and how cold they are, is counted by the time in
	which this node could see it.
	*/
	shiftClock(ms: number): void;
	isSuspect(id: string): boolean;
	loadOf(service: string, now: number): ServiceLoad;
	ids(): readonly string[];
};

/**
What a fleet is built from.
*/
export type BackendFleetOptions = ServerChoiceOptions;

/**
Pause between two health checks of a server that failed, in milliseconds.
*/
export const probeIntervalMs = 500;

/**
Builds an empty fleet.
*/
export const createBackendFleet = (
	options: BackendFleetOptions,
): BackendFleet => {
	const states = new Map<string, ServerState>();
	const ownByService = new Map<string, SmoothedCount>();
	const speedByService = new Map<string, PrefillSpeed>();

	const memoryTokensOf = ({server}: KnownServer): number =>
		options.service(server.service)?.engine?.memoryTokens ?? 0;

	const speedOf = (service: string): PrefillSpeed => {
		const known = speedByService.get(service) ?? createPrefillSpeed();
		speedByService.set(service, known);
		return known;
	};

	const ownOf = (service: string): SmoothedCount => {
		const known = ownByService.get(service) ?? createSmoothedCount();
		ownByService.set(service, known);
		return known;
	};

	const suspect = (id: string, now: number) => {
		const state = states.get(id);
		if (!state) {
			return;
		}

		state.isSuspect = true;
		state.probingSince = undefined;
		state.probedAt = now;
	};

	return {
		sync(servers, now) {
			for (const id of states.keys()) {
				if (!servers.has(id)) {
					states.delete(id);
				}
			}

			const restarted: string[] = [];
			for (const [id, known] of servers) {
				const state = states.get(id);
				if (state && isSameLife(state.known, known)) {
					const coldUntil = Math.max(known.coldUntil, state.known.coldUntil);
					state.known = {...known, coldUntil};
					continue;
				}

				states.set(
					id,
					createServerState(known, memoryTokensOf(known), now, {
						serviceInFlight: ownOf(known.server.service),
						prefillSpeed: speedOf(known.server.service),
					}),
				);
				if (state) {
					restarted.push(id);
				}
			}

			return restarted;
		},
		choose: (placement, now) =>
			chooseServer(options, states.values(), placement, now),
		begin: (id, placement, now) =>
			beginAttempt(states.get(id)!, placement, now, options),
		server: (id) => states.get(id)?.known.server,
		tick(now) {
			if (options.without.has('silence')) {
				return [];
			}

			const silent = [...states]
				.filter(([, state]) => !state.isSuspect && isFoundSilent(state, now))
				.map(([id]) => id);
			for (const id of silent) {
				suspect(id, now);
			}

			return silent;
		},
		dueProbes(now) {
			const due = [...states].filter(
				([, state]) =>
					(state.isSuspect ||
						state.isPossiblyCold ||
						state.probingSince !== undefined) &&
					now - state.probedAt >= probeIntervalMs &&
					options.backoffs.remainingMs(state.incarnationId, now) === 0 &&
					// Health checks of all nodes would go beyond a limit by themselves.
					options.backendLimits.canSend(state.incarnationId, now),
			);
			for (const [, state] of due) {
				state.probedAt = now;
			}

			return due.map(([id]) => id);
		},
		recordProbeResult(id, coldMs, now) {
			const state = states.get(id);
			if (!state || coldMs === undefined) {
				return;
			}

			state.isSuspect = false;
			state.isPossiblyCold = false;
			state.lastActivityAt = now;
			state.known = {
				...state.known,
				coldUntil: Math.max(state.known.coldUntil, now + coldMs),
			};
		},
		recordProbeAnswer(id, now) {
			const state = states.get(id);
			if (!state) {
				return;
			}

			state.lastProbeAnswerAt = now;
			state.probingSince = undefined;
		},
		recordPeerPrefillBacklog({from, server, tokens, sequence}, now) {
			states
				.get(server)
				?.peerPrefillBacklog.record(from, tokens, sequence, now);
		},
		markPossiblyCold(ids) {
			for (const id of ids) {
				const state = states.get(id);
				if (state) {
					state.isPossiblyCold = true;
				}
			}
		},
		suspect,
		shiftClock(ms) {
			for (const state of states.values()) {
				shiftTimes(state, ms);
			}
		},
		isSuspect: (id) => states.get(id)?.isSuspect ?? false,
		loadOf(service, now) {
			const usable = states
				.values()
				.filter(
					({known, isSuspect}) =>
						known.server.service === service && !isSuspect,
				)
				.toArray();
			const nodes = options.nodesServing();
			const others = estimatedPeerRequests(
				ownOf(service).mean(now),
				nodes,
				usable.length,
			);
			let load = 0;
			let slots = 0;
			for (const state of usable) {
				const own = state.known.server.slots;
				// A limited or resting server has no room to offer to other regions.
				const isUsedUp =
					options.backendLimits.rateOf(state.incarnationId) !== undefined ||
					options.backoffs.remainingMs(state.incarnationId, now) > 0;
				const held = estimatedLoad(state, nodes, now, {others});
				load += isUsedUp ? Math.max(held, own) : held;
				slots += own;
			}

			return {load, slots};
		},
		ids: () => states.keys().toArray(),
	};
};

const isSameLife = (left: KnownServer, right: KnownServer): boolean =>
	left.server.startedAt === right.server.startedAt;

// A silent server is doubted, and found silent in earnest when it does not vouch for itself.
const isFoundSilent = (state: ServerState, now: number): boolean => {
	const silence = silentFor(state, now);
	if (silence <= silenceThresholdMs) {
		state.probingSince = undefined;
		return false;
	}

	if (silence > maximumSilenceMs) {
		return true;
	}

	if (now - state.lastProbeAnswerAt > silenceThresholdMs) {
		state.probingSince ??= now;
	}

	return (
		state.probingSince !== undefined &&
		now - state.probingSince >= probeAnswerDeadlineMs
	);
};
