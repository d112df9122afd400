import {
	incarnationIdOf,
	softwareVersionOf,
	type KnownServer,
} from '../registry/index.ts';
import type {LeasedServer} from '../slot-leases/index.ts';
import {createUrgencyPressure} from '../demand/index.ts';
import {estimatedPeerRequests, estimatedLoad} from './estimated-load.ts';
import {beginAttempt, type BackendAttempt} from './backend-attempt.ts';
import {chooseServer, type LocalChoice} from './choose-server.ts';
import type {Placement} from './placement.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {createPrefillSpeed, type PrefillSpeed} from './prefill-speed.ts';
import {createPeerRequests, type PeerRequests} from './peer-requests.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';
import {
	callerPatienceMs,
	createServerState,
	leasedServerOf,
	probeAnswerDeadlineMs,
	maximumSilenceMs,
	shiftTimes,
	silenceThresholdMs,
	silentFor,
	type ServerState,
	type Suspicion,
} from './server-state.ts';

/**
Load and capacity of a service in the local region.
*/
export type ServiceLoad = {readonly load: number; readonly slots: number};

/**
Prefill backlog of one server, as reported by another node.
*/
export type PrefillBacklogReport = {
	/**
	Identifies the incarnation of the node.
	*/
	readonly from: string;
	readonly server: string;
	readonly tokens: number;
	/**
	Increases with each message of the node.
	*/
	readonly sequence: number;
};

/**
State of the backend servers of the local region, as known to this node.
*/
export type BackendFleet = {
	/**
	Sets the usable servers of the local region, by id. The state of a server that restarted under the same id is reset.

	@returns Ids of the servers that restarted.
	*/
	sync(
		servers: ReadonlyMap<string, KnownServer>,
		now: number,
	): readonly string[];
	choose(placement: Placement, now: number): LocalChoice;
	begin(id: string, placement: Placement, now: number): BackendAttempt;
	server(id: string): KnownServer['server'] | undefined;
	/**
	Whether a server of a service has this version of the software.
	*/
	hasVersion(service: string, softwareVersion: string): boolean;
	/**
	Marks servers as silent that have sent nothing with requests in flight and did not answer a health probe in time.

	@returns The servers that became silent, and those that have sent something since.
	*/
	tick(now: number): readonly SilenceChange[];
	/**
	Returns the ids of the servers whose health probe is due.
	*/
	dueProbes(now: number): readonly string[];
	/**
	Records the result of a health probe. An undefined cold time means that the probe failed.
	*/
	recordProbeResult(id: string, coldMs: number | undefined, now: number): void;
	/**
	Records that the server answered a health probe, regardless of the result.
	*/
	recordProbeAnswer(id: string, now: number): void;
	/**
	Records the prefill backlog that another node of the region reported for a server.
	*/
	recordPeerPrefillBacklog(report: PrefillBacklogReport, now: number): void;
	/**
	Marks servers as possibly cold. They are probed before they receive their full share of requests.
	*/
	markPossiblyCold(ids: readonly string[]): void;
	/**
	Marks a server as unreachable: a connection to it could not be opened.
	*/
	recordConnectFailure(id: string, now: number): void;
	/**
	Shifts all times after the machine was suspended or its clock jumped. Silence and cold time are measured only while this node
	was running.
	*/
	shiftClock(ms: number): void;
	/**
	Returns why a server receives no new requests; undefined if it does, or is unknown.
	*/
	suspicionOf(id: string): Suspicion | undefined;
	loadOf(service: string, now: number): ServiceLoad;
	/**
	Estimates the requests of all nodes in flight at a server.
	*/
	loadAt(id: string, now: number): number | undefined;
	ids(): readonly string[];
	/**
	Whether silent servers of a service are likely to go on soon, or no other ones are left. The pace at which requests ended then
	says nothing about when there will be capacity.
	*/
	isAwaitingSilentServers(service: string, now: number): boolean;
	/**
	Returns the usable servers of a service, or the silent ones if there are no others, with this node's requests in flight at each.
	*/
	requestsAt(service: string): readonly ServerInUse[];
	/**
	Returns what leases of the slots of a service's servers are about.
	*/
	leasedServers(service: string): readonly LeasedServer[];
	leasedServer(id: string): LeasedServer | undefined;
	/**
	Records the requests of the other nodes at each server of a service.
	*/
	recordPeerRequests(
		service: string,
		counts: ReadonlyMap<string, number>,
		now: number,
	): void;
	/**
	Returns the lowest fraction of their usual capacity that requests of any priority may use now.
	*/
	lowestUrgencyFactor(): number;
};

/**
A change of the belief that a server is silent.
*/
export type SilenceChange =
	| {
			readonly kind: 'silent';
			readonly id: string;
			/**
			Time without activity, in milliseconds.
			*/
			readonly silentMs: number;
			/**
			Time that its health probe has been without an answer, in milliseconds; undefined if it answers probes.
			*/
			readonly unansweredProbeMs: number | undefined;
			readonly inFlight: number;
			/**
			Requests in flight whose responses have not begun.
			*/
			readonly pending: number;
	  }
	/**
	The server has sent something on an open call.
	*/
	| {
			readonly kind: 'resumed';
			readonly id: string;
			readonly silentMs: number;
			readonly inFlight: number;
	  };

/**
A backend server and this node's requests in flight at it.
*/
export type ServerInUse = {
	readonly id: string;
	readonly slots: number;
	readonly inFlight: number;
};

/**
Options of `createBackendFleet`.
*/
export type BackendFleetOptions = ServerChoiceOptions;

/**
Interval between health probes of one server, in milliseconds.
*/
export const probeIntervalMs = 500;

/**
Creates an empty fleet.
*/
export const createBackendFleet = (
	options: BackendFleetOptions,
): BackendFleet => {
	const states = new Map<string, ServerState>();
	const inFlightByService = new Map<string, SmoothedCount>();
	const speedByService = new Map<string, PrefillSpeed>();
	const peerRequestsByService = new Map<string, PeerRequests>();

	const urgencyPressure = createUrgencyPressure();
	const choiceOptions: ServerChoiceOptions = {...options, urgencyPressure};

	const memoryTokensOf = ({server}: KnownServer): number =>
		options.service(server.service)?.engine?.memoryTokens ?? 0;

	const speedOf = (service: string): PrefillSpeed => {
		const known = speedByService.get(service) ?? createPrefillSpeed();
		speedByService.set(service, known);
		return known;
	};

	const inFlightOf = (service: string): SmoothedCount => {
		const known = inFlightByService.get(service) ?? createSmoothedCount();
		inFlightByService.set(service, known);
		return known;
	};

	const peerRequestsOf = (service: string): PeerRequests => {
		const known = peerRequestsByService.get(service) ?? createPeerRequests();
		peerRequestsByService.set(service, known);
		return known;
	};

	const serversOf = (service: string): readonly ServerState[] =>
		states
			.values()
			.filter(({known}) => known.server.service === service)
			.toArray();

	const peerRequestsAtEach = (
		service: string,
		servers: readonly ServerState[],
		now: number,
	): number =>
		estimatedPeerRequests(
			inFlightOf(service).mean(now),
			options.nodesServing(),
			servers.length,
		);

	const suspect = (state: ServerState, suspicion: Suspicion, now: number) => {
		state.suspicion = suspicion;
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
				if (state && isSameIncarnation(state.known, known)) {
					const coldUntil = Math.max(known.coldUntil, state.known.coldUntil);
					state.known = {...known, coldUntil};
					continue;
				}

				states.set(
					id,
					createServerState(known, memoryTokensOf(known), now, {
						serviceInFlight: inFlightOf(known.server.service),
						prefillSpeed: speedOf(known.server.service),
						peerRequests: peerRequestsOf(known.server.service),
					}),
				);
				if (state) {
					restarted.push(id);
				}
			}

			return restarted;
		},
		choose(placement, now) {
			const choice = chooseServer(
				choiceOptions,
				states.values(),
				placement,
				now,
			);
			if (
				choice.kind === 'full' &&
				!choice.isAwaitingSlot &&
				!choice.isSilent &&
				!placement.isSecondCall &&
				placement.priority !== undefined
			) {
				urgencyPressure.recordFull(placement.service, placement.priority, now);
			}

			return choice;
		},
		begin: (id, placement, now) =>
			beginAttempt(states.get(id)!, placement, now, options),
		server: (id) => states.get(id)?.known.server,
		hasVersion: (service, softwareVersion) =>
			states
				.values()
				.some(
					({known: {server}}) =>
						server.service === service &&
						softwareVersionOf(server) === softwareVersion,
				),
		tick(now) {
			if (options.without.has('silence')) {
				return [];
			}

			const changes: SilenceChange[] = [];
			for (const state of states.values()) {
				if (state.silentSince !== undefined && state.suspicion !== 'silent') {
					changes.push(endSilence(state));
				}

				if (state.suspicion !== undefined || !isProvenSilent(state, now)) {
					continue;
				}

				changes.push(beginSilence(state, now));
				suspect(state, 'silent', now);
			}

			return changes;
		},
		dueProbes(now) {
			const due = [...states].filter(
				([, state]) =>
					(state.suspicion !== undefined ||
						state.isPossiblyCold ||
						state.probingSince !== undefined) &&
					now - state.probedAt >= probeIntervalMs &&
					options.backoffs.remainingMs(state.incarnationId, now) === 0 &&
					// The health probes of all nodes would exceed a rate limit on their own.
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

			state.suspicion = undefined;
			state.silentSince = undefined;
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
		recordConnectFailure(id, now) {
			const state = states.get(id);
			if (state) {
				suspect(state, 'unreachable', now);
			}
		},
		shiftClock(ms) {
			for (const state of states.values()) {
				shiftTimes(state, ms);
			}
		},
		suspicionOf: (id) => states.get(id)?.suspicion,
		isAwaitingSilentServers(service, now) {
			const servers = serversOf(service);
			const silent = servers.filter(({suspicion}) => suspicion === 'silent');
			return (
				silent.some(
					({silentSince = -Infinity}) => now - silentSince < callerPatienceMs,
				) ||
				(silent.length > 0 &&
					servers.every(({suspicion}) => suspicion !== undefined))
			);
		},
		loadOf(service, now) {
			const servers = serversOf(service);
			const nodes = options.nodesServing();
			const others = peerRequestsAtEach(service, servers, now);
			let load = 0;
			let slots = 0;
			for (const state of servers) {
				const serverSlots = state.known.server.slots;
				// A suspect or rate-limited server, or one in backoff, offers no capacity to other regions.
				const hasNoCapacity =
					state.suspicion !== undefined ||
					options.backendLimits.rateOf(state.incarnationId) !== undefined ||
					options.backoffs.remainingMs(state.incarnationId, now) > 0;
				const estimated = estimatedLoad(state, nodes, now, {others});
				load += hasNoCapacity ? Math.max(estimated, serverSlots) : estimated;
				slots += serverSlots;
			}

			return {load, slots};
		},
		loadAt(id, now) {
			const state = states.get(id);
			if (!state) {
				return undefined;
			}

			const nodes = options.nodesServing();
			const {service} = state.known.server;
			const others = peerRequestsAtEach(service, serversOf(service), now);
			return estimatedLoad(state, nodes, now, {others});
		},
		ids: () => states.keys().toArray(),
		requestsAt(service) {
			const servers = serversOf(service);
			const usable = servers.filter(({suspicion}) => suspicion === undefined);
			const silent = servers.filter(({suspicion}) => suspicion === 'silent');
			return (usable.length > 0 ? usable : silent).map(
				({known: {server}, inFlight}) => ({
					id: server.id,
					slots: server.slots,
					inFlight,
				}),
			);
		},
		leasedServers: (service) =>
			serversOf(service).map((state) => leasedServerOf(state)),
		leasedServer(id) {
			const state = states.get(id);
			return state && leasedServerOf(state);
		},
		lowestUrgencyFactor: urgencyPressure.lowest,
		recordPeerRequests(service, counts, now) {
			peerRequestsOf(service).record(counts, now);
		},
	};
};

const isSameIncarnation = (left: KnownServer, right: KnownServer): boolean =>
	incarnationIdOf(left.server) === incarnationIdOf(right.server);

const beginSilence = (state: ServerState, now: number): SilenceChange => {
	const silentMs = silentFor(state, now);
	state.silentSince = now - silentMs;
	return {
		kind: 'silent',
		id: state.known.server.id,
		silentMs,
		unansweredProbeMs:
			state.probingSince === undefined ? undefined : now - state.probingSince,
		inFlight: state.inFlight,
		pending: state.pending.size,
	};
};

const endSilence = (state: ServerState): SilenceChange => {
	const silentMs = state.lastActivityAt - (state.silentSince ?? 0);
	state.silentSince = undefined;
	return {
		kind: 'resumed',
		id: state.known.server.id,
		silentMs,
		inFlight: state.inFlight,
	};
};

// A silent server is probed first, and becomes suspect only if it does not answer in time.
const isProvenSilent = (state: ServerState, now: number): boolean => {
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
