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
Polls the load of backend servers and publishes it to the other nodes.
*/
export type FleetController = Controller & {
	applyConfiguration(parsed: ParsedConfiguration): void;
	/**
	Applies soft state received from peers.
	*/
	applyDigests(values: readonly DatedValue[]): void;
	/**
	Records a shutdown announced through any source, and publishes it if the server belongs to this zone.
	*/
	recordShutdown(backendServer: string, incarnation: string): void;
};

/**
Options of `createFleetController`.
*/
export type FleetControllerOptions = {
	readonly context: NodeContext;
	readonly engines: EngineClient;
	readonly limits: ClientLimits;
	/**
	Minimum interval between two reads of a server's load by one node, in milliseconds, if the server limits its request
	rate.
	*/
	readonly enginePollIntervalMs: (server: BackendServer) => number;
	/**
	Receives the statements in the response headers of load reports.
	*/
	readonly statements: Pick<RequestStatements, 'recordLoadReport'>;
	/**
	Called when the load of a server may have decreased.
	*/
	readonly onCapacity: () => void;
};

/**
Minimum interval between two rounds of load reads, in milliseconds.
*/
export const loadIntervalMs = 500;

/**
Minimum round interval per polled server, in milliseconds; limits the read rate of a node that polls many servers.
*/
export const readSpacingMs = 270;

/**
Interval at which a node publishes loads, its requests in flight and its demand, in milliseconds.
*/
export const publishIntervalMs = 500;

/**
Interval between two summaries of a zone, in milliseconds.
*/
export const summaryIntervalMs = 1000;

/**
Returns the holder name under which the demand of a whole zone is published.
*/
export const zoneDemandHolder = (availabilityZone: string): string =>
	`zone:${availabilityZone}`;

/**
Creates the controller.
*/
export const createFleetController = (
	options: FleetControllerOptions,
): FleetController => {
	const {context, engines, limits} = options;
	const {fleet, membership, digests, clock, settings} = context;
	let local: readonly BackendServer[] = [];
	const pendingReads = new Set<string>();
	const lastReadAt = new Map<string, number>();
	// Reports read since loads were last published.
	const unpublishedReports = new Map<
		string,
		{readonly observedAt: number; readonly load: ServerLoad}
	>();
	let nextLoadAt = 0;
	let nextPublishAt = 0;
	let nextSummaryAt = 0;
	let lastPublished = {inFlight: '', demand: ''};

	const recordShutdown = (backendServer: string, incarnation: string) => {
		fleet.handle({kind: 'leaving', backendServer, incarnation}, clock());
		if (local.some(({id}) => id === backendServer)) {
			digests.put(
				{kind: 'leaving', backendServer, incarnation},
				'availability-zone',
				clock(),
			);
		}
	};

	// Two nodes of the zone poll each server; the other nodes receive its load by gossip.
	const isPolledByThisNode = (server: BackendServer): boolean => {
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
		pendingReads.add(server.id);
		const sentAt = clock();
		const status = await engines.readStatus(server.address, (head) => {
			options.statements.recordLoadReport(server, head, sentAt);
		});
		pendingReads.delete(server.id);
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
		unpublishedReports.set(server.id, {
			observedAt: now - ageMs,
			load: {backendServer: server.id, ...report},
		});
		options.onCapacity();
		if (isLeaving) {
			recordShutdown(server.id, report.incarnation);
		}
	};

	const readLoads = (now: number) => {
		const polledServers = local.filter((server) => isPolledByThisNode(server));
		nextLoadAt =
			now + Math.max(loadIntervalMs, polledServers.length * readSpacingMs);
		for (const server of polledServers) {
			const intervalMs = options.enginePollIntervalMs(server) * nodesPerRole;
			if (
				pendingReads.has(server.id) ||
				fleet.backoffRemainingMs(server.id, now) > 0 ||
				now - (lastReadAt.get(server.id) ?? -Infinity) < intervalMs
			) {
				continue;
			}

			lastReadAt.set(server.id, now);
			void readLoad(server);
		}
	};

	// Combines the reports of all polled servers in one entry, because the envelope of an entry is larger than a report.
	const publishLoads = (now: number) => {
		if (unpublishedReports.size === 0) {
			return;
		}

		const reports = unpublishedReports
			.values()
			.map(({load}) => load)
			.toArray();
		const oldest = Math.min(
			...unpublishedReports.values().map(({observedAt}) => observedAt),
		);
		const {id: node} = membership.self();
		digests.put(
			{kind: 'loads', node, reports},
			'availability-zone',
			Math.min(now, oldest),
		);
		unpublishedReports.clear();
	};

	const publishState = (now: number) => {
		publishLoads(now);
		const counts = fleet.inFlight();
		const rates = limits.demand(now);
		const next = {
			inFlight: JSON.stringify(counts),
			demand: JSON.stringify(rates),
		};
		const {id: node, availabilityZone} = membership.self();
		if (next.inFlight !== lastPublished.inFlight || next.inFlight !== '{}') {
			digests.put({kind: 'in-flight', node, counts}, 'availability-zone', now);
		}

		if (next.demand !== lastPublished.demand || next.demand !== '{}') {
			digests.put(
				{kind: 'demand', holder: node, availabilityZone, rates},
				'availability-zone',
				now,
			);
		}

		lastPublished = next;
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
			services[service] = roundSummary(fleet.summary(servers, now));
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

	const applyDigest = ({value, observedAt}: DatedValue) => {
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
				// These are read from the digest table on demand.
				return;
			}

			default: {
				assertNever(value);
			}
		}
	};

	return {
		name: 'fleet',
		applyConfiguration({configuration}) {
			local = configuration.backendServers.filter(
				({availabilityZone}) => availabilityZone === settings.availabilityZone,
			);
			fleet.handle({kind: 'configured', backendServers: local}, clock());
			// Digests that arrived before the servers were configured must take effect as well.
			reapplyDigests();
		},
		applyDigests(values) {
			for (const value of values) {
				applyDigest(value);
			}
		},
		recordShutdown,
		tick(now) {
			if (now >= nextLoadAt) {
				readLoads(now);
			}

			if (now >= nextPublishAt) {
				nextPublishAt = now + publishIntervalMs;
				publishState(now);
			}

			if (!(now >= nextSummaryAt)) {
				return;
			}

			nextSummaryAt = now + summaryIntervalMs;
			summarize(now);
		},
		resumed(now) {
			fleet.handle({kind: 'woken'}, now);
		},
	};

	function reapplyDigests() {
		const now = clock();
		for (const value of [
			...digests.values('leaving', now),
			...digests.values('loads', now),
		]) {
			applyDigest(value);
		}
	}
};

const roundSummary = (summary: ZoneServiceSummary): ZoneServiceSummary => ({
	load: Math.round(summary.load),
	slots: summary.slots,
	firstTokenMs: Math.round(summary.firstTokenMs),
	costPerThousandTokens:
		Math.round(summary.costPerThousandTokens * 1000) / 1000,
});
