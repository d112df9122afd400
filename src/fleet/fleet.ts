import type {BackendServer} from '../configuration/index.ts';
import {assertNever} from '../shared/index.ts';
import type {BackendServerCandidate} from '../routing/index.ts';
import type {AttemptEnd, FleetEvent} from './fleet-event.ts';
import {
	defaultFleetParameters,
	type FleetParameters,
} from './fleet-parameters.ts';
import {
	anyIncarnation,
	estimateLoad,
	isLeavingRow,
	applyReport,
	weightOf,
	type Row,
} from './fleet-row.ts';
import type {BackendServerState, FleetCapacity} from './fleet-state.ts';

/**
State of the backend servers in this node's zone.
*/
export type Fleet = {
	handle(event: FleetEvent, now: number): void;
	/**
	Returns a server as a candidate, or undefined if no request may be sent to it now.
	*/
	candidate(
		backendServer: string,
		now: number,
	): BackendServerCandidate | undefined;
	/**
	Aggregate load and latency of the given servers, without those in shutdown, ejection or backoff.
	*/
	capacity(
		backendServers: readonly BackendServer[],
		now: number,
	): FleetCapacity;
	/**
	This node's requests in flight by backend server; servers without any are omitted.
	*/
	inFlight(): Readonly<Record<string, number>>;
	/**
	Aggregate load and latency to announce to other zones; a server in backoff is included, but counts as full.
	*/
	summary(backendServers: readonly BackendServer[], now: number): FleetCapacity;
	/**
	Milliseconds until the backoff of a server ends; 0 if it is not in backoff.
	*/
	backoffRemainingMs(backendServer: string, now: number): number;
	states(now: number): readonly BackendServerState[];
	/**
	Incarnation of the latest known engine process, or undefined if none is known.
	*/
	incarnationOf(backendServer: string): string | undefined;
	isLeaving(backendServer: string): boolean;
};

type CachedCapacity = {
	readonly capacity: FleetCapacity;
	readonly at: number;
	readonly generation: number;
};

// Weight of one sample in the moving average of the time to the first token.
const firstTokenSmoothing = 0.2;

/**
Creates a fleet without servers; the event `configured` adds them.
*/
export const createFleet = (
	parameters: FleetParameters = defaultFleetParameters,
): Fleet => {
	let rows = new Map<string, Row>();
	const capacities = new WeakMap<readonly BackendServer[], CachedCapacity>();
	// Incremented by events that invalidate cached capacities.
	let generation = 0;

	const createRow = (server: BackendServer, availableSince: number): Row => ({
		server,
		report: undefined,
		reportedAt: 0,
		inFlightAtReport: 0,
		inFlight: 0,
		peers: new Map(),
		peerInFlight: 0,
		firstTokenMs: parameters.initialFirstTokenMs,
		failures: 0,
		ejections: 0,
		ejectedUntil: 0,
		backoffUntil: 0,
		availableSince,
		incarnation: undefined,
		isLimited: false,
		leavingIncarnations: new Set(),
	});

	const configure = (servers: readonly BackendServer[], now: number) => {
		generation += 1;
		const isFirst = rows.size === 0;
		rows = new Map(
			servers.map((server) => {
				const known = rows.get(server.id);
				const isSame = known?.server.address === server.address;
				// Servers of a node's first configuration are assumed to be warm; later ones go through slow start.
				const since = isFirst ? now - parameters.slowStartMs : now;
				return [
					server.id,
					isSame ? Object.assign(known, {server}) : createRow(server, since),
				];
			}),
		);
	};

	const markLeaving = (row: Row, incarnation: string) => {
		generation += 1;
		row.leavingIncarnations.add(incarnation);
		// An announcement can arrive before the first load report of the process that it names.
		row.incarnation ??=
			incarnation === anyIncarnation ? undefined : incarnation;
	};

	const endAttempt = (row: Row, end: AttemptEnd, now: number) => {
		row.inFlight = Math.max(0, row.inFlight - 1);
		switch (end) {
			case 'answered': {
				if (row.ejections > 0) {
					row.availableSince = now;
				}

				row.failures = 0;
				row.ejections = 0;
				return;
			}

			case 'unreachable':
			case 'failed': {
				countFailure(row, now);
				return;
			}

			case 'refused':
			case 'canceled': {
				return;
			}

			default: {
				assertNever(end);
			}
		}
	};

	const countFailure = (row: Row, now: number) => {
		row.failures += 1;
		if (row.failures < parameters.failuresToEject) {
			return;
		}

		const duration = parameters.ejectionMs * 2 ** row.ejections;
		generation += 1;
		row.ejectedUntil = now + Math.min(duration, parameters.maximumEjectionMs);
		row.ejections += 1;
		// A single failure after the ejection ejects the server again.
		row.failures = parameters.failuresToEject - 1;
	};

	const applyPeerInFlight = (
		node: string,
		counts: Readonly<Record<string, number>>,
	) => {
		for (const [id, row] of rows) {
			const count = counts[id] ?? 0;
			row.peerInFlight += count - (row.peers.get(node) ?? 0);
			if (count === 0) {
				row.peers.delete(node);
			} else {
				row.peers.set(node, count);
			}
		}
	};

	// After a pause of the process all reports are stale, so they are discarded.
	const discardReports = () => {
		generation += 1;
		for (const row of rows.values()) {
			row.report = undefined;
			row.peers.clear();
			row.peerInFlight = 0;
		}
	};

	const withRow = (id: string, act: (row: Row) => void) => {
		const row = rows.get(id);
		if (row) {
			act(row);
		}
	};

	// A server returns from backoff with slow start, so that the requests held back do not arrive all at once.
	const applyBackoff = (row: Row, until: number) => {
		generation += 1;
		row.backoffUntil = Math.max(row.backoffUntil, until);
		row.availableSince = Math.max(row.availableSince, row.backoffUntil);
	};

	const isAvailable = (row: Row, now: number): boolean =>
		!isLeavingRow(row) && row.ejectedUntil <= now;

	const isUsable = (row: Row, now: number): boolean =>
		isAvailable(row, now) && row.backoffUntil <= now;

	const aggregate = (
		servers: readonly BackendServer[],
		now: number,
		isCounted: (row: Row, now: number) => boolean,
	): FleetCapacity => {
		let load = 0;
		let slots = 0;
		let weightedFirstToken = 0;
		let weightedCost = 0;
		const firstTokens: number[] = [];
		for (const {id} of servers) {
			const row = rows.get(id);
			if (!(row && isCounted(row, now))) {
				continue;
			}

			const estimatedLoad = estimateLoad(row, parameters, now);
			// A server with a rate limit or in backoff has no capacity to offer to other zones.
			const isFull = row.isLimited || row.backoffUntil > now;
			load += isFull
				? Math.max(estimatedLoad, row.server.slots)
				: estimatedLoad;
			slots += row.server.slots;
			weightedFirstToken += row.firstTokenMs * row.server.slots;
			weightedCost += row.server.costPerThousandTokens * row.server.slots;
			firstTokens.push(row.firstTokenMs);
		}

		return {
			load,
			slots,
			firstTokenMs: slots === 0 ? 0 : weightedFirstToken / slots,
			typicalFirstTokenMs: medianOf(firstTokens),
			costPerThousandTokens: slots === 0 ? 0 : weightedCost / slots,
		};
	};

	// Every request needs the capacity over all servers, which hardly changes between two requests.
	const capacityOf = (
		servers: readonly BackendServer[],
		now: number,
	): FleetCapacity => {
		const known = capacities.get(servers);
		if (
			known?.generation === generation &&
			now - known.at < parameters.capacityCacheMs
		) {
			return known.capacity;
		}

		const capacity = aggregate(servers, now, isUsable);
		capacities.set(servers, {capacity, at: now, generation});
		return capacity;
	};

	const toCandidate = (
		row: Row,
		now: number,
	): BackendServerCandidate | undefined => {
		if (!isUsable(row, now)) {
			return undefined;
		}

		const load = estimateLoad(row, parameters, now);
		const {slots} = row.server;
		if (load >= slots * (1 + parameters.queueAllowance)) {
			return undefined;
		}

		return {
			id: row.server.id,
			load,
			slots,
			expectedFirstTokenMs: row.firstTokenMs,
			costPerThousandTokens: row.server.costPerThousandTokens,
			weight: weightOf(row, parameters, now),
		};
	};

	const handle = (event: FleetEvent, now: number): void => {
		switch (event.kind) {
			case 'configured': {
				configure(event.backendServers, now);
				return;
			}

			case 'load-reported': {
				withRow(event.backendServer, (row) => {
					applyReport(row, event.report, event.observedAt, now);
				});
				return;
			}

			case 'peer-in-flight': {
				applyPeerInFlight(event.node, event.counts);
				return;
			}

			case 'peer-gone': {
				applyPeerInFlight(event.node, {});
				return;
			}

			case 'leaving': {
				withRow(event.backendServer, (row) => {
					markLeaving(row, event.incarnation);
				});
				return;
			}

			case 'resting': {
				withRow(event.backendServer, (row) => {
					applyBackoff(row, event.until);
				});
				return;
			}

			case 'attempt-started': {
				withRow(event.backendServer, (row) => {
					row.inFlight += 1;
				});
				return;
			}

			case 'first-token': {
				withRow(event.backendServer, (row) => {
					row.firstTokenMs +=
						firstTokenSmoothing * (event.elapsedMs - row.firstTokenMs);
				});
				return;
			}

			case 'attempt-ended': {
				withRow(event.backendServer, (row) => {
					endAttempt(row, event.end, now);
				});
				return;
			}

			case 'limited': {
				generation += 1;
				for (const [id, row] of rows) {
					row.isLimited = event.backendServers.has(id);
				}

				return;
			}

			case 'woken': {
				discardReports();
				return;
			}

			default: {
				assertNever(event);
			}
		}
	};

	const stateOf = (row: Row, now: number): BackendServerState => ({
		id: row.server.id,
		service: row.server.service,
		availabilityZone: row.server.availabilityZone,
		address: row.server.address,
		isLeaving: isLeavingRow(row),
		isEjected: row.ejectedUntil > now,
		load: estimateLoad(row, parameters, now),
		slots: row.server.slots,
		inFlight: row.inFlight,
		firstTokenMs: row.firstTokenMs,
		weight: weightOf(row, parameters, now),
		reportAgeMs: row.report ? now - row.reportedAt : undefined,
	});

	return {
		handle,
		candidate(id, now) {
			const row = rows.get(id);
			return row && toCandidate(row, now);
		},
		capacity: capacityOf,
		summary: (servers, now) => aggregate(servers, now, isAvailable),
		backoffRemainingMs: (id, now) =>
			Math.max(0, (rows.get(id)?.backoffUntil ?? 0) - now),
		inFlight: () =>
			Object.fromEntries(
				[...rows]
					.filter(([, row]) => row.inFlight > 0)
					.map(([id, row]) => [id, row.inFlight]),
			),
		states: (now) =>
			rows
				.values()

				.map((row) => stateOf(row, now))
				.toArray(),
		incarnationOf: (id) => rows.get(id)?.incarnation,
		isLeaving(id) {
			const row = rows.get(id);
			return row !== undefined && isLeavingRow(row);
		},
	};
};

// Lower median: of two servers, the faster one is typical.
const medianOf = (values: number[]): number =>
	values.toSorted((left, right) => left - right)[
		Math.floor((values.length - 1) / 2)
	] ?? 0;
