import type {Configuration} from '../configuration/index.ts';
import type {ZoneServiceSummary} from '../digests/index.ts';
import type {EligibleZone, ZoneCandidate} from '../routing/index.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {ChooserOptions} from './target-choice.ts';

const sameRegionDelayMs = 2;

// Trust in a summary falls to a third in this many milliseconds.
const summaryDecay = 10_000;

/**
Says what a zone would cost a request.
*/
export type ZoneEvaluator = (
	zone: EligibleZone,
	request: GatewayRequest,
	configuration: Configuration,
	now: number,
) => ZoneCandidate;

/**
Builds a judge that goes by this node's own figures, and by what was heard of other zones.
*/
export const createZoneEvaluator =
	(
		options: Pick<ChooserOptions, 'availabilityZone' | 'fleet' | 'summaryOf'>,
	): ZoneEvaluator =>
	(zone, request, configuration, now) => {
		const isLocal = zone.availabilityZone === options.availabilityZone;
		const isHome = zone.region === request.homeRegion;
		const heard = isLocal
			? undefined
			: options.summaryOf(zone.availabilityZone, request.service.name, now);
		const figures = isLocal
			? options.fleet.capacity(zone.backendServers, now)
			: (heard ?? priorOf(zone, configuration));
		const trust = isLocal
			? 1
			: Math.exp(-(heard?.ageMs ?? Infinity) / summaryDecay);
		return {
			availabilityZone: zone.availabilityZone,
			region: zone.region,
			isLocal,
			isHome,
			load: figures.load,
			slots: figures.slots,
			expectedFirstTokenMs:
				figures.firstTokenMs * queueFactor(figures) +
				delayTo(options, zone, request, configuration) +
				coldPenalty(isHome, configuration),
			costPerThousandTokens: figures.costPerThousandTokens,
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
