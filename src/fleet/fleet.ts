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
What this node knows of the backend servers of its own zone.
*/
export type Fleet = {
	handle(event: FleetEvent, now: number): void;
	/**
	A server as a candidate, or undefined where it may not be given work now.
	*/
	candidate(
		backendServer: string,
		now: number,
	): BackendServerCandidate | undefined;
	/**
	Load and speed of the given servers together; those leaving or ejected are left out.
	*/
	capacity(
		backendServers: readonly BackendServer[],
		now: number,
	): FleetCapacity;
	/**
	Requests of this node in flight, by backend server; servers without any are left out.
	*/
	inFlight(): Readonly<Record<string, number>>;
	/**
	Load and speed as other zones are told: a server that rests for this node has no room, but it is there.
	*/
	summary(backendServers: readonly BackendServer[], now: number): FleetCapacity;
	/**
	Milliseconds until this node may send anything to a server; 0 where it may now.
	*/
	backoffRemainingMs(backendServer: string, now: number): number;
	states(now: number): readonly BackendServerState[];
	/**
	The engine process last heard of, if any.
	*/
	incarnationOf(backendServer: string): string | undefined;
	isLeaving(backendServer: string): boolean;
};

type Sum = {
	readonly capacity: FleetCapacity;
	readonly at: number;
	readonly generation: number;
};

const smoothing = 0.2;

/**
Builds a fleet without servers; `configured` brings them.
*/
export const createFleet = (
	parameters: FleetParameters = defaultFleetParameters,
): Fleet => {
	let rows = new Map<string, Row>();
	const sums = new WeakMap<readonly BackendServer[], Sum>();
	// Raised by events after which sums must not be used any longer.
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
				// Servers of a node's first configuration are taken as warm, later ones ramp up.
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
		// An announcement may arrive before the first report of the process that it names.
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
		// One further failure after the pause sets the server aside again.
		row.failures = parameters.failuresToEject - 1;
	};

	const takePeer = (node: string, counts: Readonly<Record<string, number>>) => {
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

	// After a pause everything known is old: only what is heard from now on counts.
	const wake = () => {
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

	// A server returns from its rest as one that has just started: requests that were held back do not arrive all at once.
	const rest = (row: Row, until: number) => {
		generation += 1;
		row.backoffUntil = Math.max(row.backoffUntil, until);
		row.availableSince = Math.max(row.availableSince, row.backoffUntil);
	};

	const isThere = (row: Row, now: number): boolean =>
		!isLeavingRow(row) && row.ejectedUntil <= now;

	const isUsable = (row: Row, now: number): boolean =>
		isThere(row, now) && row.backoffUntil <= now;

	const sumUp = (
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

			const held = estimateLoad(row, parameters, now);
			// A limited or resting server has no room to offer to other zones.
			const isUsedUp = row.isLimited || row.backoffUntil > now;
			load += isUsedUp ? Math.max(held, row.server.slots) : held;
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

	// Sums over all servers are needed for each request and hardly change between two.
	const capacityOf = (
		servers: readonly BackendServer[],
		now: number,
	): FleetCapacity => {
		const known = sums.get(servers);
		if (
			known?.generation === generation &&
			now - known.at < parameters.capacityCacheMs
		) {
			return known.capacity;
		}

		const capacity = sumUp(servers, now, isUsable);
		sums.set(servers, {capacity, at: now, generation});
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
				takePeer(event.node, event.counts);
				return;
			}

			case 'peer-gone': {
				takePeer(event.node, {});
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
					rest(row, event.until);
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
					row.firstTokenMs += smoothing * (event.elapsedMs - row.firstTokenMs);
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
				wake();
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
		summary: (servers, now) => sumUp(servers, now, isThere),
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

// The lower median: of two servers the faster one is the typical one.
const medianOf = (values: number[]): number =>
	values.toSorted((left, right) => left - right)[
		Math.floor((values.length - 1) / 2)
	] ?? 0;
