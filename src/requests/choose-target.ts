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

// How much one more request moves the share that was sent away.
const smoothing = 0.01;

/**
Builds a chooser.
*/
export const createTargetChooser = (options: ChooserOptions): TargetChooser => {
	const {fleet, limits, random} = options;
	const judgeZone = createZoneEvaluator(options);
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

	// The shortest rest of a server here that the request may still go to.
	const restLeftIn = (
		zones: readonly EligibleZone[],
		{excluded}: TriedTargets,
		now: number,
	): number | undefined => {
		const own = zones.find(
			({availabilityZone}) => availabilityZone === options.availabilityZone,
		);
		const rests = (own?.backendServers ?? [])
			.filter(({id}) => !excluded.has(id))
			.map(({id}) => fleet.backoffRemainingMs(id, now))
			.filter((leftMs) => leftMs > 0);
		return rests.length === 0 ? undefined : Math.min(...rests);
	};

	// Where one without a limit is merely full, its room comes back with the next end.
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
				.map((zone) => judgeZone(zone, request, configuration, now))
				.filter(({slots}) => slots > 0);
			const chosen = pickZone(request, zones);
			const backoffRemainingMs = chosen
				? undefined
				: restLeftIn(reachable, tried, now);
			if (backoffRemainingMs !== undefined) {
				return {kind: 'busy', backoffRemainingMs};
			}

			if (!chosen) {
				return {kind: 'none', error: noZoneError(request, regions.size)};
			}

			countAway(!chosen.isHome);
			const permission = regions.get(chosen.region)!;
			if (chosen.isLocal) {
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

// A region is left out where the request may not be served; a claim that cannot be read ends it.
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
