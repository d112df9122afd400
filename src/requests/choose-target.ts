import type {BackendServer, Configuration} from '../configuration/index.ts';
import type {ZoneServiceSummary} from '../digests/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {Fleet} from '../fleet/index.ts';
import type {Member} from '../membership/index.ts';
import {
	chooseBackendServer,
	chooseZone,
	createEligibility,
	guardResidency,
	isFull,
	utilization,
	type CandidatePool,
	overflowDefaults,
	type ClearedRegion,
	type Eligibility,
	type EligibleZone,
	type ZoneCandidate,
} from '../routing/index.ts';
import type {Random} from '../shared/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Where the next attempt of a request goes.
*/
export type TargetChoice =
	| {
			readonly kind: 'backend-server';
			readonly server: BackendServer;
			readonly region: string;
			readonly cleared: ClearedRegion;
	  }
	| {
			readonly kind: 'peer';
			readonly member: Member;
			readonly zone: ZoneCandidate;
			readonly cleared: ClearedRegion;
	  }
	/**
	There are servers, but every slot is taken.
	*/
	| {readonly kind: 'busy'}
	| {readonly kind: 'none'; readonly error: GatewayError};

/**
A summary of another zone as it was heard, with its age.
*/
export type HeardSummary = ZoneServiceSummary & {readonly ageMs: number};

/**
What choosing depends on.
*/
export type ChooserOptions = {
	readonly availabilityZone: string;
	readonly fleet: Fleet;
	readonly random: Random;
	readonly configuration: () => Configuration | undefined;
	/**
	Nodes that can take a forwarded request, in one zone.
	*/
	readonly membersIn: (availabilityZone: string) => readonly Member[];
	readonly summaryOf: (
		availabilityZone: string,
		service: string,
		now: number,
	) => HeardSummary | undefined;
};

/**
What has been tried already.
*/
export type TriedTargets = {
	/**
	Ids of backend servers and nodes that failed for this request.
	*/
	readonly excluded: ReadonlySet<string>;
	/**
	Whether another zone may be chosen; never for a request that was forwarded here.
	*/
	readonly isForwarded: boolean;
};

/**
Chooses targets; keeps only what smooths its choices over time.
*/
export type TargetChooser = {
	choose(
		request: GatewayRequest,
		tried: TriedTargets,
		now: number,
	): TargetChoice;
	/**
	Share of recent requests that were sent away from their home region.
	*/
	awayShare(): number;
};

/**
Nothing has been tried yet.
*/
export const untried: TriedTargets = {excluded: new Set(), isForwarded: false};

const smoothing = 0.01;
const sameRegionDelayMs = 2;
/**
Trust in a summary falls to a third in this many milliseconds.
*/
const summaryDecay = 10_000;

/**
Builds a chooser.
*/
export const createTargetChooser = (options: ChooserOptions): TargetChooser => {
	const {fleet, random} = options;
	let eligibility:
		| {readonly configuration: Configuration; readonly look: Eligibility}
		| undefined;
	let turn = 0;
	let awayShare = 0;
	let isOverflowing = false;

	const eligibleZones = (
		request: GatewayRequest,
		configuration: Configuration,
	): readonly EligibleZone[] => {
		if (eligibility?.configuration !== configuration) {
			eligibility = {configuration, look: createEligibility(configuration)};
		}

		return eligibility.look(request.policy, request.service.name);
	};

	const judgeZone = (
		zone: EligibleZone,
		request: GatewayRequest,
		configuration: Configuration,
		now: number,
	): ZoneCandidate => {
		const isOwn = zone.availabilityZone === options.availabilityZone;
		const isHome = zone.region === request.homeRegion;
		const heard = isOwn
			? undefined
			: options.summaryOf(zone.availabilityZone, request.service.name, now);
		const figures = isOwn
			? fleet.capacity(zone.backendServers, now)
			: (heard ?? priorOf(zone, configuration));
		const trust = isOwn
			? 1
			: Math.exp(-(heard?.ageMs ?? Infinity) / summaryDecay);
		return {
			availabilityZone: zone.availabilityZone,
			region: zone.region,
			isOwn,
			isHome,
			load: figures.load,
			slots: figures.slots,
			expectedFirstTokenMs:
				figures.firstTokenMs * queueFactor(figures) +
				delayTo(zone, request, configuration) +
				coldPenalty(isHome, configuration),
			costPerThousandTokens: figures.costPerThousandTokens,
			trust,
		};
	};

	const delayTo = (
		zone: EligibleZone,
		request: GatewayRequest,
		configuration: Configuration,
	): number => {
		if (zone.availabilityZone === options.availabilityZone) {
			return 0;
		}

		return zone.region === request.homeRegion
			? sameRegionDelayMs
			: 2 * configuration.timing.betweenRegionsMs;
	};

	const isReachable = (zone: EligibleZone, tried: TriedTargets): boolean => {
		if (zone.availabilityZone === options.availabilityZone) {
			return zone.backendServers.some(({id}) => !tried.excluded.has(id));
		}

		return (
			!tried.isForwarded &&
			usableMembers(zone.availabilityZone, tried).length > 0
		);
	};

	const usableMembers = (
		availabilityZone: string,
		tried: TriedTargets,
	): readonly Member[] =>
		options
			.membersIn(availabilityZone)
			.filter(({id}) => !tried.excluded.has(id));

	const chooseInZone = (
		request: GatewayRequest,
		zone: EligibleZone,
		cleared: ClearedRegion,
		now: number,
	): TargetChoice => {
		const servers = zone.backendServers;
		const capacity = fleet.capacity(servers, now);
		const pool: CandidatePool = {
			servers,
			judge: ({id}) => fleet.candidate(id, now),
			meanUtilization: utilization(capacity),
			typicalFirstTokenMs: capacity.typicalFirstTokenMs,
		};
		const chosen = chooseBackendServer(request.policy.strategy, pool, {
			prefixKey: request.prefixKey,
			turn,
			random,
		});
		const server = chosen && servers.find(({id}) => id === chosen.id);
		if (server) {
			return {kind: 'backend-server', server, region: zone.region, cleared};
		}

		return capacity.slots > 0
			? {kind: 'busy'}
			: {
					kind: 'none',
					error: noneLeft('every backend server there is leaving or failing'),
				};
	};

	const pickZone = (
		request: GatewayRequest,
		zones: readonly ZoneCandidate[],
	): ZoneCandidate | undefined => {
		const {strategy} = request.policy;
		const home = zones.find(({isOwn, isHome}) => isOwn && isHome);
		const overflowAtLoad =
			strategy.kind === 'home-first'
				? strategy.overflowAtLoad
				: overflowDefaults.overflowAtLoad;
		const chosen = chooseZone(strategy, zones, {
			turn,
			random,
			awayShare,
			isOverflowing,
		});
		isOverflowing =
			home !== undefined && isFull(home, overflowAtLoad, isOverflowing);
		return chosen;
	};

	const countAway = (isAway: boolean) => {
		awayShare += smoothing * ((isAway ? 1 : 0) - awayShare);
	};

	return {
		choose(request, tried, now) {
			const configuration = options.configuration();
			if (!configuration) {
				return {
					kind: 'none',
					error: createGatewayError(
						'not-ready',
						'No configuration has been received yet',
					),
				};
			}

			turn += 1;
			const eligible = eligibleZones(request, configuration);
			if (eligible.length === 0) {
				return {
					kind: 'none',
					error: noneLeft(
						`policy "${request.policy.name}" leaves no backend server`,
					),
				};
			}

			const cleared = new Map<string, ClearedRegion>();
			for (const {region} of eligible) {
				const guard = guardResidency(request.claim, region, configuration);
				if (guard.isOk) {
					cleared.set(region, guard.value);
				} else if (guard.error.kind === 'residency-invalid') {
					return {kind: 'none', error: guard.error};
				}
			}

			const reachable = eligible.filter(
				(zone) => cleared.has(zone.region) && isReachable(zone, tried),
			);
			const zones = reachable
				.map((zone) => judgeZone(zone, request, configuration, now))
				.filter(({slots}) => slots > 0);
			const chosen = pickZone(request, zones);
			if (!chosen) {
				return {kind: 'none', error: whyNone(request, cleared.size)};
			}

			countAway(!chosen.isHome);
			const permission = cleared.get(chosen.region)!;
			if (chosen.isOwn) {
				const zone = reachable.find(
					({availabilityZone}) => availabilityZone === chosen.availabilityZone,
				)!;
				// The same list each time keeps the sums over it in use.
				const backendServers =
					tried.excluded.size === 0
						? zone.backendServers
						: zone.backendServers.filter(({id}) => !tried.excluded.has(id));
				return chooseInZone(
					request,
					{...zone, backendServers},
					permission,
					now,
				);
			}

			const members = usableMembers(chosen.availabilityZone, tried);
			return {
				kind: 'peer',
				member: members[random.below(members.length)]!,
				zone: chosen,
				cleared: permission,
			};
		},
		awayShare: () => awayShare,
	};
};

// Beyond this share of slots in use, waiting begins to show.
const queueingFrom = 0.7;
const queueingSlope = 3;

const queueFactor = ({
	load,
	slots,
}: {
	readonly load: number;
	readonly slots: number;
}): number =>
	1 + queueingSlope * Math.max(0, load / Math.max(1, slots) - queueingFrom);

// Caches are regional: away, the whole prompt has to be worked through once more.
const coldPenalty = (isHome: boolean, configuration: Configuration): number =>
	isHome ? 0 : configuration.timing.firstTokenMs;

// A zone that has not been heard of is taken to be of its configured size and idle; its
// distance still counts against it.
const priorOf = (
	zone: EligibleZone,
	configuration: Configuration,
): ZoneServiceSummary => ({
	load: 0,
	slots: zone.backendServers.reduce((sum, {slots}) => sum + slots, 0),
	firstTokenMs: configuration.timing.firstTokenMs,
	costPerThousandTokens:
		zone.backendServers.reduce(
			(sum, server) => sum + server.costPerThousandTokens,
			0,
		) / zone.backendServers.length,
});

const noneLeft = (reason: string): GatewayError =>
	createGatewayError(
		'no-candidate',
		`No backend server can take the request: ${reason}`,
	);

const whyNone = (
	request: GatewayRequest,
	allowedRegions: number,
): GatewayError => {
	if (
		request.claim.requested !== undefined ||
		request.claim.client.residency !== undefined
	) {
		return createGatewayError(
			'residency-unavailable',
			'No region that the request may be served in can be reached or has a backend server for it now',
		);
	}

	return noneLeft(
		allowedRegions === 0
			? 'no region is allowed'
			: 'no zone with a backend server can be reached',
	);
};
