import {admissionFraction, type WindowLimit} from './admission-fraction.ts';
import {
	isolatedAdmissionFraction,
	scaleLimit,
	currentTotal,
	type AccountTotal,
	type KnownTotal,
} from './known-total.ts';
import {
	addUsages,
	createUsageLedger,
	type AccountUsage,
} from './usage-ledger.ts';
import {createUsageReporter} from './usage-report.ts';
import {
	createUsageWindow,
	noUsage,
	type Usage,
	type UsageWindow,
} from './usage-window.ts';

/**
Result of an admission check.
*/
export type SharedVerdict =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'limited';
			/**
			Seconds after which the account is expected to be below its limit.
			*/
			readonly retryAfterSeconds: number;
	  };

/**
Totals that an aggregator sends to the nodes of its zone.
*/
export type LimitTotals = {
	/**
	Fraction of each limit that the nodes that reach each other may use, from 0 to 1.
	*/
	readonly limitFraction: number;
	readonly accounts: readonly AccountTotal[];
};

/**
Usage that the aggregator of a zone sends to the other zones.
*/
export type ZoneUsage = {
	/**
	Fraction of the zone's nodes that the sum covers, from 0 to 1.
	*/
	readonly nodeFraction: number;
	readonly usages: readonly AccountUsage[];
};

/**
State of an account's limit as known to this node.
*/
export type LimitState = {
	/**
	Fraction of its requests that is admitted now, from 0 to 1.
	*/
	readonly admissionFraction: number;
	/**
	Usage from which the fraction is computed: of all nodes, or of this node alone if it is isolated.
	*/
	readonly usage: Usage;
	/**
	Milliseconds since totals were last received from the aggregator; infinite if none were received.
	*/
	readonly ageMs: number;
};

/**
Limits of client accounts that all nodes enforce together, without shared state.

Each zone has an aggregator node, to which the nodes of the zone report requested and admitted units. The aggregators exchange the
sums of their zones, and send the totals to the nodes of their zones. All nodes use the totals to admit the same fraction of an
account's requests.
*/
export type SharedLimits = {
	/**
	Decides whether to admit a request, given the units that it counts against the limit.
	*/
	admit(
		account: string,
		limit: WindowLimit,
		count: number,
		now: number,
	): SharedVerdict;
	/**
	Returns the usage that this node reports to the aggregator.
	*/
	report(now: number): readonly AccountUsage[];
	/**
	At the aggregator: processes the report of a node of the zone.
	*/
	receiveNodeUsage(
		node: string,
		usages: readonly AccountUsage[],
		now: number,
	): void;
	/**
	At the aggregator: returns the usage of the zone for the other zones.
	*/
	zoneSum(now: number): readonly AccountUsage[];
	/**
	At the aggregator: processes the usage of another zone.
	*/
	receiveZoneUsage(zone: string, usage: ZoneUsage, now: number): void;
	/**
	At the aggregator: returns the totals for the nodes of the zone, including itself.
	*/
	totals(now: number): LimitTotals;
	/**
	Processes the totals from the aggregator; accounts that are not included remain unchanged.
	*/
	receiveTotals(totals: LimitTotals, now: number): void;
	/**
	Returns the state of an account's limit.
	*/
	state(account: string, limit: WindowLimit, now: number): LimitState;
};

/**
Options of `createSharedLimits`.
*/
export type SharedLimitsOptions = {
	/**
	Length of the sliding window in which admitted units are compared with the limit, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	All availability zones except this node's own.
	*/
	readonly otherZones: readonly string[];
	/**
	Whether this node's view of the other nodes has settled.
	*/
	readonly hasSettled: () => boolean;
	/**
	Fraction of the nodes of this node's zone that is reachable, from 0 to 1.
	*/
	readonly zoneReachableFraction: () => number;
	/**
	Number of nodes of all regions, including this one.
	*/
	readonly nodes: () => number;
	/**
	Returns a random number from 0 (inclusive) to 1 (exclusive).
	*/
	readonly randomFraction: () => number;
};

/**
Time without a report after which a zone counts as unreachable, in milliseconds.
*/
export const zoneTimeoutMs = 1600;

/**
Time without totals from the aggregator after which a node considers itself isolated, in milliseconds. Within this time, another
node replaces an aggregator that has failed.
*/
export const isolationTimeoutMs = 3000;

/**
Retention of the usage of an unreachable zone, in milliseconds. After this time, the zone is down, or a partition persists. The two
cases cannot be distinguished, so the callers on both sides are served.
*/
export const unreachableZoneRetentionMs = 30_000;

/**
Minimum retry delay sent to a limited caller, in seconds.
*/
export const minimumRetryAfterSeconds = 0.5;

type LocalAccount = {
	readonly limit: WindowLimit;
	readonly window: UsageWindow;
	/**
	Usage that was reported last.
	*/
	reported: Usage;
};

/**
Creates the limits of a node that has received no messages.
*/
export const createSharedLimits = ({
	windowMs,
	otherZones,
	zoneReachableFraction,
	hasSettled,
	nodes,
	randomFraction,
}: SharedLimitsOptions): SharedLimits => {
	const own = new Map<string, LocalAccount>();
	const zoneNodes = createUsageLedger(windowMs);
	const zones = createUsageLedger(unreachableZoneRetentionMs);
	const reportOwn = createUsageReporter();
	const reportZone = createUsageReporter();
	const reportTotals = createUsageReporter();
	const known = new Map<string, KnownTotal>();
	const zoneFractions = new Map<string, number>();
	let limitFraction = 1;
	let receivedAt = -Infinity;

	// Units admitted under a previous limit are not counted. Otherwise, a limit that is lowered far below the account's usage would
	// refuse all its requests until the window has passed.
	const getOrCreate = (account: string, limit: WindowLimit): LocalAccount => {
		const before = own.get(account);
		const isSame =
			before?.limit.perSecond === limit.perSecond &&
			before.limit.burst === limit.burst;
		if (before && isSame) {
			return before;
		}

		const opened: LocalAccount = {
			limit,
			window: createUsageWindow(windowMs),
			reported: noUsage,
		};
		own.set(account, opened);
		if (before) {
			known.delete(account);
		}

		return opened;
	};

	const stateOf = (
		account: string,
		limit: WindowLimit,
		now: number,
	): LimitState => {
		const ownUsage = getOrCreate(account, limit).window.usage(now);
		const knownTotal = known.get(account);
		const ageMs = now - receivedAt;
		if (ageMs > isolationTimeoutMs) {
			const fraction = hasSettled()
				? isolatedAdmissionFraction(limit, knownTotal, ownUsage, {
						windowMs,
						nodes: nodes(),
					})
				: 1;
			return {admissionFraction: fraction, usage: ownUsage, ageMs};
		}

		const usage = currentTotal(knownTotal, ownUsage);
		const admittedByUnreachable = knownTotal?.total.admittedByUnreachable ?? 0;
		const fraction = admissionFraction(
			scaleLimit(limit, limitFraction),
			{total: usage, admittedByUnreachable},
			windowMs,
		);
		return {admissionFraction: fraction, usage, ageMs};
	};

	// Unreachable nodes may be partitioned and have demand of their own. They include zones from which this incarnation has never
	// received a message, because a node that starts during a partition does not know their usage. For a zone that was reachable
	// before, its last known usage is reserved instead.
	const usableFraction = (): number => {
		if (!hasSettled()) {
			return 1;
		}

		const fractions = otherZones.map((zone) => zoneFractions.get(zone) ?? 0);
		const sum = fractions.reduce(
			(total, fraction) => total + fraction,
			zoneReachableFraction(),
		);
		return sum / (1 + otherZones.length);
	};

	return {
		admit(account, limit, count, now) {
			const {window} = getOrCreate(account, limit);
			window.recordRequested(count, now);
			const {admissionFraction: fraction} = stateOf(account, limit, now);
			if (fraction >= 1 || randomFraction() < fraction) {
				window.recordAdmitted(count, now);
				return {kind: 'admitted'};
			}

			return {
				kind: 'limited',
				retryAfterSeconds: retryAfter(fraction, windowMs, randomFraction()),
			};
		},
		report(now) {
			const usages = new Map<string, Usage>();
			for (const [account, opened] of own) {
				opened.reported = opened.window.usage(now);
				usages.set(account, opened.reported);
			}

			return reportOwn(usages);
		},
		receiveNodeUsage: zoneNodes.record,
		zoneSum: (now) => reportZone(zoneNodes.sums(now)),
		receiveZoneUsage(zone, {nodeFraction, usages}, now) {
			if (!otherZones.includes(zone)) {
				return;
			}

			zoneFractions.set(zone, nodeFraction);
			zones.record(zone, usages, now);
		},
		totals(now) {
			const sums = new Map(zoneNodes.sums(now));
			addUsages(sums, zones.sums(now));
			const unreachable = zones.admittedByUnreachable(zoneTimeoutMs, now);
			const accounts = reportTotals(sums).map(({account, ...total}) => ({
				account,
				total,
				admittedByUnreachable: unreachable.get(account) ?? 0,
			}));
			return {limitFraction: usableFraction(), accounts};
		},
		receiveTotals(totals, now) {
			receivedAt = now;
			({limitFraction} = totals);
			for (const total of totals.accounts) {
				const ownAtReceipt = own.get(total.account)?.reported ?? noUsage;
				known.set(total.account, {total, ownAtReceipt});
			}
		},
		state: stateOf,
	};
};

// The lower the admission fraction, the longer the account is expected to exceed its limit. The delay is at most about half a
// window, with jitter so that callers that are refused at the same time do not retry at the same time.
const retryAfter = (
	fraction: number,
	windowMs: number,
	randomFraction: number,
): number => {
	const seconds =
		(windowMs / 2000) * (1 - fraction) * (0.75 + randomFraction / 2);
	return Math.max(minimumRetryAfterSeconds, seconds);
};
