import type {KnownServer} from '../registry/index.ts';
import {heldByOthers, believedLoad} from './believed-load.ts';
import {beginAttempt, type BackendAttempt} from './backend-attempt.ts';
import {chooseServer, type LocalChoice} from './choose-server.ts';
import type {Placement} from './placement.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {createReadingSpeed, type ReadingSpeed} from './reading-speed.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';
import {
	createServerState,
	doubtMs,
	longestSilenceMs,
	shiftTimes,
	silenceMs,
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
export type PeerReading = {
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
	probed(id: string, coldMs: number | undefined, now: number): void;
	/**
	The server answered a question for its health, whatever it said.
	*/
	vouched(id: string, now: number): void;
	/**
	Another node of the region has told how many tokens of its long prompts a server has still to read.
	*/
	heardReading(reading: PeerReading, now: number): void;
	/**
	Takes it that servers may have turned cold; they are asked before they get their full share.
	*/
	distrust(ids: readonly string[]): void;
	/**
	A connection to the server could not be had, or its silence was noticed.
	*/
	suspect(id: string, now: number): void;
	/**
	The machine was suspended, or the clock leapt: what servers owe, and how cold they are, is counted by the time in
	which this node could see it.
	*/
	slept(ms: number): void;
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
	const speedByService = new Map<string, ReadingSpeed>();

	const memoryTokensOf = ({server}: KnownServer): number =>
		options.service(server.service)?.engine?.memoryTokens ?? 0;

	const speedOf = (service: string): ReadingSpeed => {
		const known = speedByService.get(service) ?? createReadingSpeed();
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
		state.doubtedAt = undefined;
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
						ownOfService: ownOf(known.server.service),
						readingSpeed: speedOf(known.server.service),
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
						state.isDistrusted ||
						state.doubtedAt !== undefined) &&
					now - state.probedAt >= probeIntervalMs &&
					options.rests.leftMs(state.life, now) === 0 &&
					// Health checks of all nodes would go beyond a limit by themselves.
					options.backendLimits.hasRoom(state.life, now),
			);
			for (const [, state] of due) {
				state.probedAt = now;
			}

			return due.map(([id]) => id);
		},
		probed(id, coldMs, now) {
			const state = states.get(id);
			if (!state || coldMs === undefined) {
				return;
			}

			state.isSuspect = false;
			state.isDistrusted = false;
			state.lastHeardAt = now;
			state.known = {
				...state.known,
				coldUntil: Math.max(state.known.coldUntil, now + coldMs),
			};
		},
		vouched(id, now) {
			const state = states.get(id);
			if (!state) {
				return;
			}

			state.vouchedAt = now;
			state.doubtedAt = undefined;
		},
		heardReading({from, server, tokens, sequence}, now) {
			states.get(server)?.othersReading.hear(from, tokens, sequence, now);
		},
		distrust(ids) {
			for (const id of ids) {
				const state = states.get(id);
				if (state) {
					state.isDistrusted = true;
				}
			}
		},
		suspect,
		slept(ms) {
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
			const others = heldByOthers(
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
					options.backendLimits.rateOf(state.life) !== undefined ||
					options.rests.leftMs(state.life, now) > 0;
				const held = believedLoad(state, nodes, now, {others});
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
	if (silence <= silenceMs) {
		state.doubtedAt = undefined;
		return false;
	}

	if (silence > longestSilenceMs) {
		return true;
	}

	if (now - state.vouchedAt > silenceMs) {
		state.doubtedAt ??= now;
	}

	return state.doubtedAt !== undefined && now - state.doubtedAt >= doubtMs;
};
