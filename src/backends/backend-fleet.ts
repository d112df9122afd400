import type {KnownServer} from '../registry/index.ts';
import type {Service} from '../routes/index.ts';
import {keyedWeight} from '../shared/index.ts';
import {coldShare, isWithinColdShare, type ColdBound} from './cold-limit.ts';
import {createPromptMemory, type PromptMemory} from './prompt-memory.ts';

/**
How an attempt at a backend server ended.
*/
export const attemptEnds = [
	'answered',
	/**
	It answered with a fault, broke off, or never answered.
	*/
	'failed',
	/**
	It stated that the request did not run.
	*/
	'refused',
	/**
	This node gave it up for a reason that says nothing of the server.
	*/
	'abandoned',
] as const;

/**
One of the ends of an attempt.
*/
export type BackendAttemptEnd = (typeof attemptEnds)[number];

/**
What a request needs of a backend server.
*/
export type Placement = {
	readonly service: string;
	/**
	The shared part of the prompt by which it is placed.
	*/
	readonly sharedPart?: {readonly id: string; readonly tokens: number};
	readonly promptTokens: number;
	/**
	Backend servers that failed it already.
	*/
	readonly excluded: ReadonlySet<string>;
};

/**
Where a request could go in the own region.
*/
export type LocalChoice =
	| {
			readonly kind: 'server';
			readonly id: string;
			/**
			Load after the request, 1 being full; comparable between servers and regions.
			*/
			readonly cost: number;
	  }
	/**
	There are servers, but none has room for another request of this node.
	*/
	| {readonly kind: 'full'}
	| {readonly kind: 'none'};

/**
A request under way at a backend server.
*/
export type BackendAttempt = {
	readonly server: string;
	/**
	To be called with each sign of life from the server.
	*/
	heard(now: number): void;
	/**
	To be called when the first event or the answer is there.
	*/
	started(now: number): void;
	end(how: BackendAttemptEnd, now: number): void;
};

/**
Load and room of a service in the own region.
*/
export type ServiceLoad = {readonly load: number; readonly slots: number};

/**
What this node knows of the backend servers of its region.
*/
export type BackendFleet = {
	/**
	Takes in the servers of the own region that may be used, by their ids.
	*/
	sync(servers: ReadonlyMap<string, KnownServer>, now: number): void;
	choose(placement: Placement, now: number): LocalChoice;
	begin(id: string, placement: Placement, now: number): BackendAttempt;
	server(id: string): KnownServer['server'] | undefined;
	/**
	Finds servers that have gone silent with requests under way.
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
	Takes it that servers may have turned cold; they are asked before they get their full share.
	*/
	distrust(ids: readonly string[]): void;
	/**
	A connection to the server could not be had, or its silence was noticed.
	*/
	suspect(id: string, now: number): void;
	isSuspect(id: string): boolean;
	loadOf(service: string): ServiceLoad;
	ids(): readonly string[];
};

/**
What a fleet is built from.
*/
export type BackendFleetOptions = {
	readonly self: string;
	readonly availabilityZone: string;
	/**
	Ids of all nodes of the region that were ever heard of, this one included.
	*/
	readonly nodesEverHeard: () => readonly string[];
	/**
	How many nodes of the region serve now, this one included.
	*/
	readonly nodesServing: () => number;
	readonly service: (name: string) => Service | undefined;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Whether cold servers may be used yet; a node that has just started knows no other nodes.
	*/
	readonly mayUseCold: (now: number) => boolean;
};

/**
A server that owes an answer and has sent nothing for so long counts as silent, in milliseconds.
Engines send events of other requests many times in this time.
*/
export const silenceMs = 800;

/**
Pause between two health checks of a server that failed, in milliseconds.
*/
export const probeIntervalMs = 500;

// Requests that all nodes together hold at a server, by its slots: engines queue what does not
// fit their batch at little cost, plain servers answer it later.
const engineRoom = 1.5;
const plainRoom = 2;

// As much prompt as delays the requests behind it about as much as a full server does, in tokens.
const promptTokensOfFull = 40_000;

// Reading a shared part again takes its time from the other requests too, and is paid for, so it
// counts for more than the same wait behind another prompt.
const rereadFactor = 2;

// What a server of another zone of the region is worse by: the bytes between zones are paid for.
const otherZoneCost = 0.15;

// Weight of one more outcome in a server's failure rate.
const failureWeight = 0.1;
// What a server that fails every request is worse by than a sound one.
const failureCost = 3;

type State = {
	known: KnownServer;
	inFlight: number;
	/**
	Tokens of prompts that this node sent and that have not begun to be answered.
	*/
	pendingTokens: number;
	readonly pending: Set<{readonly since: number}>;
	lastHeardAt: number;
	failureRate: number;
	isSuspect: boolean;
	isDistrusted: boolean;
	probedAt: number;
	coldSentAt: number[];
	readonly memory: PromptMemory;
};

/**
Builds an empty fleet.
*/
export const createBackendFleet = (
	options: BackendFleetOptions,
): BackendFleet => {
	const states = new Map<string, State>();

	const createState = (known: KnownServer, now: number): State => ({
		known,
		inFlight: 0,
		pendingTokens: 0,
		pending: new Set(),
		lastHeardAt: now,
		failureRate: 0,
		isSuspect: false,
		isDistrusted: false,
		probedAt: -Infinity,
		coldSentAt: [],
		memory: createPromptMemory(
			options.service(known.server.service)?.engine?.memoryTokens ?? 0,
		),
	});

	const roomOf = ({known: {server}}: State): number => {
		const isEngine = options.service(server.service)?.engine !== undefined;
		const whole = server.slots * (isEngine ? engineRoom : plainRoom);
		return Math.max(1, Math.ceil(whole / options.nodesServing()));
	};

	const coldBoundOf = (state: State): ColdBound | undefined => {
		const service = options.service(state.known.server.service);
		return service && service.coldRequestsPerSecond > 0
			? {
					requestsPerSecond: service.coldRequestsPerSecond,
					overrun: options.coldOverrun,
					slack: options.coldSlack,
				}
			: undefined;
	};

	const isCold = (state: State, now: number): boolean =>
		state.isDistrusted || state.known.coldUntil > now;

	const hasColdRoom = (state: State, now: number): boolean => {
		const bound = isCold(state, now) ? coldBoundOf(state) : undefined;
		if (!bound) {
			return true;
		}

		const share = coldShare(
			bound,
			state.known.server.id,
			options.self,
			options.nodesEverHeard(),
		);
		return (
			options.mayUseCold(now) && isWithinColdShare(state.coldSentAt, share, now)
		);
	};

	const costOf = (state: State): number =>
		(state.known.server.availabilityZone === options.availabilityZone
			? 0
			: otherZoneCost) +
		(state.inFlight + 1) / roomOf(state) +
		state.pendingTokens / promptTokensOfFull +
		state.failureRate * failureCost;

	// The first server in the order of the part's hash is taken to hold it, for every node sends it
	// there first; of the others only those that were seen to be sent it.
	const missingTokens = (
		state: State,
		isFirst: boolean,
		{sharedPart}: Placement,
	): number =>
		sharedPart && !isFirst && !state.memory.has(sharedPart.id)
			? sharedPart.tokens
			: 0;

	const heaviest = (
		candidates: readonly State[],
		key: string | undefined,
	): State | undefined => {
		if (key === undefined) {
			return undefined;
		}

		const weightOf = keyedWeight(key);
		let found: State | undefined;
		for (const candidate of candidates) {
			if (
				!found ||
				weightOf(candidate.known.server.id) > weightOf(found.known.server.id)
			) {
				found = candidate;
			}
		}

		return found;
	};

	const candidatesFor = (placement: Placement): readonly State[] =>
		states
			.values()
			.filter(
				({known: {server}, isSuspect}) =>
					server.service === placement.service &&
					!isSuspect &&
					!placement.excluded.has(server.id),
			)
			.toArray();

	const choose = (placement: Placement, now: number): LocalChoice => {
		const candidates = candidatesFor(placement);
		if (candidates.length === 0) {
			return {kind: 'none'};
		}

		const first = heaviest(candidates, placement.sharedPart?.id);
		let best: {readonly state: State; readonly cost: number} | undefined;
		for (const state of candidates) {
			if (state.inFlight >= roomOf(state) || !hasColdRoom(state, now)) {
				continue;
			}

			const cost =
				costOf(state) +
				(missingTokens(state, state === first, placement) * rereadFactor) /
					promptTokensOfFull;
			if (!best || cost < best.cost) {
				best = {state, cost};
			}
		}

		return best
			? {kind: 'server', id: best.state.known.server.id, cost: best.cost}
			: {kind: 'full'};
	};

	const noteEnd = (state: State, how: BackendAttemptEnd) => {
		if (!(how === 'answered' || how === 'failed')) {
			return;
		}

		const outcome = how === 'failed' ? 1 : 0;
		state.failureRate += (outcome - state.failureRate) * failureWeight;
	};

	const begin = (
		id: string,
		placement: Placement,
		now: number,
	): BackendAttempt => {
		const state = states.get(id)!;
		const waiting = {since: now};
		const isKept =
			placement.sharedPart && state.memory.has(placement.sharedPart.id);
		const tokens =
			placement.promptTokens -
			(isKept ? (placement.sharedPart?.tokens ?? 0) : 0);
		state.inFlight += 1;
		state.pendingTokens += tokens;
		state.pending.add(waiting);
		if (placement.sharedPart) {
			state.memory.use(placement.sharedPart);
		}

		if (isCold(state, now)) {
			state.coldSentAt = [...state.coldSentAt.slice(-100), now];
		}

		let isEnded = false;
		const settle = () => {
			if (state.pending.delete(waiting)) {
				state.pendingTokens -= tokens;
			}
		};

		return {
			server: id,
			heard(at) {
				state.lastHeardAt = at;
			},
			started(at) {
				state.lastHeardAt = at;
				settle();
			},
			end(how, at) {
				if (isEnded) {
					return;
				}

				isEnded = true;
				settle();
				state.inFlight -= 1;
				if (how === 'answered' || how === 'refused') {
					state.lastHeardAt = at;
				}

				noteEnd(state, how);
			},
		};
	};

	const isSilent = (state: State, now: number): boolean => {
		let oldest = now;
		for (const {since} of state.pending) {
			oldest = Math.min(oldest, since);
		}

		return now - Math.max(oldest, state.lastHeardAt) > silenceMs;
	};

	const suspect = (id: string, now: number) => {
		const state = states.get(id);
		if (!state) {
			return;
		}

		state.isSuspect = true;
		state.probedAt = now;
	};

	return {
		sync(servers, now) {
			for (const id of states.keys()) {
				if (!servers.has(id)) {
					states.delete(id);
				}
			}

			for (const [id, known] of servers) {
				const state = states.get(id);
				if (state) {
					state.known = known;
				} else {
					states.set(id, createState(known, now));
				}
			}
		},
		choose,
		begin,
		server: (id) => states.get(id)?.known.server,
		tick(now) {
			const silent = [...states]
				.filter(([, state]) => !state.isSuspect && isSilent(state, now))
				.map(([id]) => id);
			for (const id of silent) {
				suspect(id, now);
			}

			return silent;
		},
		dueProbes(now) {
			const due = [...states].filter(
				([, state]) =>
					(state.isSuspect || state.isDistrusted) &&
					now - state.probedAt >= probeIntervalMs,
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
		distrust(ids) {
			for (const id of ids) {
				const state = states.get(id);
				if (state) {
					state.isDistrusted = true;
				}
			}
		},
		suspect,
		isSuspect: (id) => states.get(id)?.isSuspect ?? false,
		loadOf(service) {
			let load = 0;
			let slots = 0;
			for (const state of states.values()) {
				const {server} = state.known;
				if (server.service !== service || state.isSuspect) {
					continue;
				}

				load += state.inFlight * options.nodesServing();
				slots += server.slots;
			}

			return {load, slots};
		},
		ids: () => states.keys().toArray(),
	};
};
