import {Result} from 'true-myth';
import type {BackendServer, Configuration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {Member} from '../membership/index.ts';
import {
	chooseBackendServer,
	chooseZone,
	createEligibility,
	guardResidency,
	isFull,
	overflowDefaults,
	utilization,
	type CandidatePool,
	type ClearedRegion,
	type Eligibility,
	type EligibleZone,
	type ZoneCandidate,
} from '../routing/index.ts';
import type {GatewayRequest} from './gateway-request.ts';
import {createZoneEvaluator} from './evaluate-zone.ts';
import {noCandidateError, noZoneError} from './no-candidate-error.ts';
import type {
	ChooserOptions,
	TargetChoice,
	TargetChooser,
	TriedTargets,
} from './target-choice.ts';

// Weight of one request in the moving average of the share that leaves its home region.
const awayShareSmoothing = 0.01;

/**
Creates a target chooser.
*/
export const createTargetChooser = (options: ChooserOptions): TargetChooser => {
	const {fleet, limits, random} = options;
	const evaluateZone = createZoneEvaluator(options);
	let eligibility:
		| {readonly configuration: Configuration; readonly lookUp: Eligibility}
		| undefined;
	let turn = 0;
	let awayShare = 0;
	let isOverflowing = false;

	const eligibleZones = (
		request: GatewayRequest,
		configuration: Configuration,
	): readonly EligibleZone[] => {
		if (eligibility?.configuration !== configuration) {
			eligibility = {configuration, lookUp: createEligibility(configuration)};
		}

		return eligibility.lookUp(request.policy, request.service.name);
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
			candidateFor: (candidate) =>
				limits.canSend(candidate, now)
					? fleet.candidate(candidate.id, now)
					: undefined,
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
			? {kind: 'busy', ...ratesOf(servers, now)}
			: {
					kind: 'none',
					error: noCandidateError(
						'every backend server there is leaving or failing',
					),
				};
	};

	// Shortest remaining backoff among the local servers that the request has not tried.
	const shortestBackoffMs = (
		zones: readonly EligibleZone[],
		{excluded}: TriedTargets,
		now: number,
	): number | undefined => {
		const localZone = zones.find(
			({availabilityZone}) => availabilityZone === options.availabilityZone,
		);
		const backoffs = (localZone?.backendServers ?? [])
			.filter(({id}) => !excluded.has(id))
			.map(({id}) => fleet.backoffRemainingMs(id, now))
			.filter((remainingMs) => remainingMs > 0);
		return backoffs.length === 0 ? undefined : Math.min(...backoffs);
	};

	// If a server without a rate limit is full, it has capacity again when its next request ends, so no rate is given.
	const ratesOf = (
		servers: readonly BackendServer[],
		now: number,
	): {readonly perSecond?: number} => {
		const rates = servers
			.filter(({id}) => fleet.candidate(id, now) !== undefined)
			.map((server) => limits.rateOf(server));
		return rates.length === 0 || rates.includes(undefined)
			? {}
			: {perSecond: rates.reduce((sum: number, rate) => sum + (rate ?? 0), 0)};
	};

	const pickZone = (
		request: GatewayRequest,
		zones: readonly ZoneCandidate[],
	): ZoneCandidate | undefined => {
		const {strategy} = request.policy;
		const home = zones.find(({isLocal, isHome}) => isLocal && isHome);
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
		awayShare += awayShareSmoothing * ((isAway ? 1 : 0) - awayShare);
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
					error: noCandidateError(
						`policy "${request.policy.name}" leaves no backend server`,
					),
				};
			}

			const cleared = clearRegions(request, eligible, configuration);
			if (cleared.isErr) {
				return {kind: 'none', error: cleared.error};
			}

			const regions = cleared.value;
			const reachable = eligible.filter(
				(zone) => regions.has(zone.region) && isReachable(zone, tried),
			);
			const zones = reachable
				.map((zone) => evaluateZone(zone, request, configuration, now))
				.filter(({slots}) => slots > 0);
			const chosen = pickZone(request, zones);
			const backoffRemainingMs = chosen
				? undefined
				: shortestBackoffMs(reachable, tried, now);
			if (backoffRemainingMs !== undefined) {
				return {kind: 'busy', backoffRemainingMs};
			}

			if (!chosen) {
				return {kind: 'none', error: noZoneError(request, regions.size)};
			}

			countAway(!chosen.isHome);
			const clearedRegion = regions.get(chosen.region)!;
			if (chosen.isLocal) {
				const zone = reachable.find(
					({availabilityZone}) => availabilityZone === chosen.availabilityZone,
				)!;
				// The fleet caches the capacity by the identity of this list, so the list is not copied without need.
				const backendServers =
					tried.excluded.size === 0
						? zone.backendServers
						: zone.backendServers.filter(({id}) => !tried.excluded.has(id));
				return chooseInZone(
					request,
					{...zone, backendServers},
					clearedRegion,
					now,
				);
			}

			const members = usableMembers(chosen.availabilityZone, tried);
			return {
				kind: 'peer',
				member: members[random.below(members.length)]!,
				zone: chosen,
				cleared: clearedRegion,
			};
		},
		awayShare: () => awayShare,
	};
};

// Leaves out regions in which the request may not be served; an invalid residency claim ends the request.
const clearRegions = (
	request: GatewayRequest,
	eligible: readonly EligibleZone[],
	configuration: Configuration,
): Result<ReadonlyMap<string, ClearedRegion>, GatewayError> => {
	const cleared = new Map<string, ClearedRegion>();
	for (const {region} of eligible) {
		const guard = guardResidency(request.claim, region, configuration);
		if (guard.isOk) {
			cleared.set(region, guard.value);
		} else if (guard.error.kind === 'residency-invalid') {
			return Result.err(guard.error);
		}
	}

	return Result.ok(cleared);
};
