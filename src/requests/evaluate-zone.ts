import type {Configuration} from '../configuration/index.ts';
import type {ZoneServiceSummary} from '../digests/index.ts';
import type {EligibleZone, ZoneCandidate} from '../routing/index.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {ChooserOptions} from './target-choice.ts';

const sameRegionDelayMs = 2;

// The weight of a summary falls to 1/e (about a third) after this time.
const summaryDecayMs = 10_000;

/**
Estimates latency and cost of serving a request in a zone.
*/
export type ZoneEvaluator = (
	zone: EligibleZone,
	request: GatewayRequest,
	configuration: Configuration,
	now: number,
) => ZoneCandidate;

/**
Creates an evaluator. It uses this node's own estimates for the local zone and the received summaries for other zones.
*/
export const createZoneEvaluator =
	(
		options: Pick<ChooserOptions, 'availabilityZone' | 'fleet' | 'summaryOf'>,
	): ZoneEvaluator =>
	(zone, request, configuration, now) => {
		const isLocal = zone.availabilityZone === options.availabilityZone;
		const isHome = zone.region === request.homeRegion;
		const summary = isLocal
			? undefined
			: options.summaryOf(zone.availabilityZone, request.service.name, now);
		const estimate = isLocal
			? options.fleet.capacity(zone.backendServers, now)
			: (summary ?? priorOf(zone, configuration));
		const trust = isLocal
			? 1
			: Math.exp(-(summary?.ageMs ?? Infinity) / summaryDecayMs);
		return {
			availabilityZone: zone.availabilityZone,
			region: zone.region,
			isLocal,
			isHome,
			load: estimate.load,
			slots: estimate.slots,
			expectedFirstTokenMs:
				estimate.firstTokenMs * queueFactor(estimate) +
				delayTo(options, zone, request, configuration) +
				coldPenalty(isHome, configuration),
			costPerThousandTokens: estimate.costPerThousandTokens,
			trust,
		};
	};

const delayTo = (
	{availabilityZone}: Pick<ChooserOptions, 'availabilityZone'>,
	zone: EligibleZone,
	request: GatewayRequest,
	configuration: Configuration,
): number => {
	if (zone.availabilityZone === availabilityZone) {
		return 0;
	}

	return zone.region === request.homeRegion
		? sameRegionDelayMs
		: 2 * configuration.timing.betweenRegionsMs;
};

// Utilization above which queueing adds to the time to the first token.
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

// Prompt caches are regional: in another region the whole prompt must be processed again.
const coldPenalty = (isHome: boolean, configuration: Configuration): number =>
	isHome ? 0 : configuration.timing.firstTokenMs;

// Without a summary, a zone is assumed to have its configured slots and no load; the delay to reach
// it is still added.
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
