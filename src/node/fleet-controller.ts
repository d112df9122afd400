import type {
	BackendServer,
	ParsedConfiguration,
} from '../configuration/index.ts';
import type {Controller} from '../controllers/index.ts';
import type {
	DatedValue,
	ServerLoad,
	ZoneServiceSummary,
} from '../digests/index.ts';
import type {EngineClient} from '../engines/index.ts';
import type {ClientLimits, PeerDemand} from '../limits/index.ts';
import type {RequestStatements} from '../requests/index.ts';
import {hasRole, nodesPerRole} from '../membership/index.ts';
import {assertNever, rendezvousOrder} from '../shared/index.ts';
import type {NodeContext} from './node-context.ts';

/**
Learns the load of backend servers and tells the other nodes.
*/
export type FleetController = Controller & {
	configured(parsed: ParsedConfiguration): void;
	/**
	Takes in soft state that peers sent.
	*/
	applyDigests(values: readonly DatedValue[]): void;
	/**
	Takes in an announced shutdown from any source and passes it on.
	*/
	leaving(backendServer: string, incarnation: string): void;
};

/**
What the controller is built from.
*/
export type FleetControllerOptions = {
	readonly context: NodeContext;
	readonly engines: EngineClient;
	readonly limits: ClientLimits;
	/**
	Milliseconds between two reads of a server's load by one node, where the server bounds what it is asked.
	*/
	readonly enginePollIntervalMs: (server: BackendServer) => number;
	/**
	Takes in what servers state in the heads of their load reports.
	*/
	readonly statements: Pick<RequestStatements, 'recordLoadReport'>;
	/**
	Called when load may have fallen.
	*/
	readonly onCapacity: () => void;
};

/**
Milliseconds between two reads of one server's load.
*/
export const loadIntervalMs = 500;

/**
Milliseconds that each server read adds to that; bounds the reads of a node with many servers.
*/
export const readSpacingMs = 270;

/**
Milliseconds between two statements of own requests in flight and of demand.
*/
export const statementIntervalMs = 500;

/**
Milliseconds between two summaries of a zone.
*/
export const summaryIntervalMs = 1000;

/**
Name under which the demand of a whole zone is stated.
*/
export const zoneDemandHolder = (availabilityZone: string): string =>
	`zone:${availabilityZone}`;

/**
Builds the controller.
*/
export const createFleetController = (
	options: FleetControllerOptions,
): FleetController => {
	const {context, engines, limits} = options;
	const {fleet, membership, digests, clock, settings} = context;
	let local: readonly BackendServer[] = [];
	const polling = new Set<string>();
	const readAt = new Map<string, number>();
	// Reports read since the last statement.
	const unstated = new Map<
		string,
		{readonly observedAt: number; readonly load: ServerLoad}
	>();
	let nextLoadAt = 0;
	let nextStatementAt = 0;
	let nextSummaryAt = 0;
	let stated = {inFlight: '', demand: ''};

	const leaving = (backendServer: string, incarnation: string) => {
		fleet.handle({kind: 'leaving', backendServer, incarnation}, clock());
		if (local.some(({id}) => id === backendServer)) {
			digests.put(
				{kind: 'leaving', backendServer, incarnation},
				'availability-zone',
				clock(),
			);
		}
	};

	// Two nodes of the zone read each server; the others hear from them.
	const isWatched = (server: BackendServer): boolean => {
		const self = membership.self();
		const zone = membership
			.members()
			.filter(
				({availabilityZone, status}) =>
					availabilityZone === self.availabilityZone && status === 'alive',
			);
		return rendezvousOrder(`load/${server.id}`, [self, ...zone], ({id}) => id)
			.slice(0, nodesPerRole)
			.some(({id}) => id === self.id);
	};

	const readLoad = async (server: BackendServer) => {
		polling.add(server.id);
		const sentAt = clock();
		const status = await engines.readStatus(server.address, (head) => {
			options.statements.recordLoadReport(server, head, sentAt);
		});
		polling.delete(server.id);
		if (status.isErr) {
			return;
		}

		const {isLeaving, ageMs, ...report} = status.value;
		const now = clock();
		fleet.handle(
			{
				kind: 'load-reported',
				backendServer: server.id,
				report,
				observedAt: now - ageMs,
			},
			now,
		);
		unstated.set(server.id, {
			observedAt: now - ageMs,
			load: {backendServer: server.id, ...report},
		});
		options.onCapacity();
		if (isLeaving) {
			leaving(server.id, report.incarnation);
		}
	};

	const readLoads = (now: number) => {
		const watched = local.filter((server) => isWatched(server));
		nextLoadAt = now + Math.max(loadIntervalMs, watched.length * readSpacingMs);
		for (const server of watched) {
			const pauseMs = options.enginePollIntervalMs(server) * nodesPerRole;
			if (
				polling.has(server.id) ||
				fleet.backoffRemainingMs(server.id, now) > 0 ||
				now - (readAt.get(server.id) ?? -Infinity) < pauseMs
			) {
				continue;
			}

			readAt.set(server.id, now);
			void readLoad(server);
		}
	};

	// One entry for all servers that this node reads: an entry has more head than body.
	const stateLoads = (now: number) => {
		if (unstated.size === 0) {
			return;
		}

		const reports = unstated
			.values()
			.map(({load}) => load)
			.toArray();
		const oldest = Math.min(
			...unstated.values().map(({observedAt}) => observedAt),
		);
		const {id: node} = membership.self();
		digests.put(
			{kind: 'loads', node, reports},
			'availability-zone',
			Math.min(now, oldest),
		);
		unstated.clear();
	};

	const state = (now: number) => {
		stateLoads(now);
		const counts = fleet.inFlight();
		const rates = limits.demand(now);
		const next = {
			inFlight: JSON.stringify(counts),
			demand: JSON.stringify(rates),
		};
		const {id: node, availabilityZone} = membership.self();
		if (next.inFlight !== stated.inFlight || next.inFlight !== '{}') {
			digests.put({kind: 'in-flight', node, counts}, 'availability-zone', now);
		}

		if (next.demand !== stated.demand || next.demand !== '{}') {
			digests.put(
				{kind: 'demand', holder: node, availabilityZone, rates},
				'availability-zone',
				now,
			);
		}

		stated = next;
		limits.setPeerDemand(peerDemand(now));
	};

	const peerDemand = (now: number): readonly PeerDemand[] => {
		const self = membership.self();
		return digests
			.values('demand', now)
			.map(({value}) => value)
			.filter(({holder, availabilityZone}) =>
				availabilityZone === self.availabilityZone
					? holder !== self.id && !holder.startsWith('zone:')
					: holder.startsWith('zone:'),
			);
	};

	const summarize = (now: number) => {
		const {availabilityZone} = membership.self();
		if (!hasRole('zone-summary', membership.self(), membership.members())) {
			return;
		}

		const services: Record<string, ZoneServiceSummary> = {};
		for (const service of new Set(local.map((server) => server.service))) {
			const servers = local.filter((server) => server.service === service);
			services[service] = rounded(fleet.summary(servers, now));
		}

		digests.put(
			{kind: 'zone-summary', availabilityZone, services},
			'everywhere',
			now,
		);
		const rates = zoneDemand(now);
		digests.put(
			{
				kind: 'demand',
				holder: zoneDemandHolder(availabilityZone),
				availabilityZone,
				rates,
			},
			'everywhere',
			now,
		);
	};

	const zoneDemand = (now: number): Readonly<Record<string, number>> => {
		const sums: Record<string, number> = {...limits.demand(now)};
		for (const {holder, availabilityZone, rates} of peerDemand(now)) {
			if (
				availabilityZone === settings.availabilityZone &&
				!holder.startsWith('zone:')
			) {
				for (const [client, rate] of Object.entries(rates)) {
					sums[client] = Math.round(((sums[client] ?? 0) + rate) * 100) / 100;
				}
			}
		}

		return sums;
	};

	const take = ({value, observedAt}: DatedValue) => {
		const now = clock();
		switch (value.kind) {
			case 'loads': {
				for (const {backendServer, ...report} of value.reports) {
					fleet.handle(
						{kind: 'load-reported', backendServer, report, observedAt},
						now,
					);
				}

				options.onCapacity();
				return;
			}

			case 'in-flight': {
				fleet.handle(
					{kind: 'peer-in-flight', node: value.node, counts: value.counts},
					now,
				);
				return;
			}

			case 'leaving': {
				fleet.handle(
					{
						kind: 'leaving',
						backendServer: value.backendServer,
						incarnation: value.incarnation,
					},
					now,
				);
				return;
			}

			case 'zone-summary':
			case 'demand': {
				// Read from the table when needed.
				return;
			}

			default: {
				assertNever(value);
			}
		}
	};

	return {
		name: 'fleet',
		configured({configuration}) {
			local = configuration.backendServers.filter(
				({availabilityZone}) => availabilityZone === settings.availabilityZone,
			);
			fleet.handle({kind: 'configured', backendServers: local}, clock());
			// Words heard before the servers were known must hold as well.
			heardAgain();
		},
		applyDigests(values) {
			for (const value of values) {
				take(value);
			}
		},
		leaving,
		tick(now) {
			if (now >= nextLoadAt) {
				readLoads(now);
			}

			if (now >= nextStatementAt) {
				nextStatementAt = now + statementIntervalMs;
				state(now);
			}

			if (!(now >= nextSummaryAt)) {
				return;
			}

			nextSummaryAt = now + summaryIntervalMs;
			summarize(now);
		},
		woken(now) {
			fleet.handle({kind: 'woken'}, now);
		},
	};

	function heardAgain() {
		const now = clock();
		for (const value of [
			...digests.values('leaving', now),
			...digests.values('loads', now),
		]) {
			take(value);
		}
	}
};

const rounded = (summary: ZoneServiceSummary): ZoneServiceSummary => ({
	load: Math.round(summary.load),
	slots: summary.slots,
	firstTokenMs: Math.round(summary.firstTokenMs),
	costPerThousandTokens:
		Math.round(summary.costPerThousandTokens * 1000) / 1000,
});
