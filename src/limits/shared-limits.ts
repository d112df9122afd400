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
The answer to a request for admission.
*/
export type SharedVerdict =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'limited';
			/**
			Seconds after which the account is likely to be below its limit.
			*/
			readonly retryAfterSeconds: number;
	  };

/**
What the nodes of a zone are told.
*/
export type LimitTotals = {
	/**
	The part of each limit that the nodes that hear each other may use, from 0 to 1.
	*/
	readonly limitFraction: number;
	readonly accounts: readonly AccountTotal[];
};

/**
What a zone tells the others.
*/
export type ZoneUsage = {
	/**
	The part of the zone's nodes that its sum is of, from 0 to 1.
	*/
	readonly nodeFraction: number;
	readonly usages: readonly AccountUsage[];
};

/**
How an account stands, as this node sees it.
*/
export type LimitState = {
	/**
	The part of its requests that is let through now, from 0 to 1.
	*/
	readonly admissionFraction: number;
	/**
	What that is worked out from: the usage of all nodes, or this node's own where it hears of no other.
	*/
	readonly usage: Usage;
	/**
	Milliseconds since the node that adds up was heard; infinite where it never was.
	*/
	readonly ageMs: number;
};

/**
Limits of client accounts that all nodes hold together, without shared state.

Each node tells the one of its zone that adds up what it was asked for and let through; those of all zones tell each
other their sums, and each tells its zone the total. All nodes let through the same part of an account's requests by it.
*/
export type SharedLimits = {
	/**
	Admits a request or not, by what it counts against the limit.
	*/
	admit(
		account: string,
		limit: WindowLimit,
		count: number,
		now: number,
	): SharedVerdict;
	/**
	What this node has to tell the one that adds up.
	*/
	report(now: number): readonly AccountUsage[];
	/**
	At the node that adds up: what a node of the zone tells.
	*/
	receiveNodeUsage(
		node: string,
		usages: readonly AccountUsage[],
		now: number,
	): void;
	/**
	At the node that adds up: what it has to tell the other zones.
	*/
	zoneSum(now: number): readonly AccountUsage[];
	/**
	At the node that adds up: what another zone tells.
	*/
	receiveZoneUsage(zone: string, word: ZoneUsage, now: number): void;
	/**
	At the node that adds up: what it has to tell the nodes of the zone, itself included.
	*/
	totals(now: number): LimitTotals;
	/**
	What the node that adds up tells; accounts that it does not name stay as they were.
	*/
	receiveTotals(totals: LimitTotals, now: number): void;
	/**
	How an account stands.
	*/
	state(account: string, limit: WindowLimit, now: number): LimitState;
};

/**
What the limits of one node are built from.
*/
export type SharedLimitsOptions = {
	/**
	Over which what was let through is held to the limit, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	All availability zones but the own one.
	*/
	readonly otherZones: readonly string[];
	/**
	Whether this node had time to hear of the others.
	*/
	readonly hasSettled: () => boolean;
	/**
	The part of the nodes of the own zone that can be heard, from 0 to 1.
	*/
	readonly zoneReachableFraction: () => number;
	/**
	Nodes of all regions, this one included.
	*/
	readonly nodes: () => number;
	/**
	A number from 0 up to, but without, 1.
	*/
	readonly randomFraction: () => number;
};

/**
Time without a report after which a zone counts as unreachable, in milliseconds.
*/
export const zoneTimeoutMs = 1600;

/**
A node is on its own when it has not heard the one that adds up for so long, in milliseconds: as long as it takes until
another node takes the place of one that is gone.
*/
export const isolationTimeoutMs = 3000;

/**
What a silent zone used counts for so long, in milliseconds. By then it is gone, or a cut lasts so long that the callers
of both sides are served for want of a way to tell.
*/
export const unreachableZoneRetentionMs = 30_000;

/**
The shortest time after which a limited caller is told to come back, in seconds.
*/
export const minimumRetryAfterSeconds = 0.5;

type OwnAccount = {
	readonly limit: WindowLimit;
	readonly window: UsageWindow;
	/**
	What was told of it last.
	*/
	told: Usage;
};

/**
Builds the limits of a node that has heard nothing.
*/
export const createSharedLimits = ({
	windowMs,
	otherZones,
	zoneReachableFraction,
	hasSettled,
	nodes,
	randomFraction,
}: SharedLimitsOptions): SharedLimits => {
	const own = new Map<string, OwnAccount>();
	const zoneNodes = createUsageLedger(windowMs);
	const zones = createUsageLedger(unreachableZoneRetentionMs);
	const reportOwn = createUsageReporter();
	const reportZone = createUsageReporter();
	const reportTotals = createUsageReporter();
	const known = new Map<string, KnownTotal>();
	const zoneParts = new Map<string, number>();
	let limitFraction = 1;
	let heardAt = -Infinity;

	// What was let through under another limit does not count: one that is lowered far below what an account sends
	// would otherwise refuse all of it until the window is over.
	const open = (account: string, limit: WindowLimit): OwnAccount => {
		const before = own.get(account);
		const isSame =
			before?.limit.perSecond === limit.perSecond &&
			before.limit.burst === limit.burst;
		if (before && isSame) {
			return before;
		}

		const opened: OwnAccount = {
			limit,
			window: createUsageWindow(windowMs),
			told: noUsage,
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
		const ownUsage = open(account, limit).window.usage(now);
		const told = known.get(account);
		const ageMs = now - heardAt;
		if (ageMs > isolationTimeoutMs) {
			const nodeFraction = hasSettled()
				? isolatedAdmissionFraction(limit, told, ownUsage, {
						windowMs,
						nodes: nodes(),
					})
				: 1;
			return {admissionFraction: nodeFraction, usage: ownUsage, ageMs};
		}

		const usage = currentTotal(told, ownUsage);
		const admittedByUnreachable = told?.total.admittedByUnreachable ?? 0;
		const nodeFraction = admissionFraction(
			scaleLimit(limit, limitFraction),
			{total: usage, admittedByUnreachable},
			windowMs,
		);
		return {admissionFraction: nodeFraction, usage, ageMs};
	};

	// What cannot be heard may be cut off, with demand of its own: nodes of the own zone and of others, and zones that this
	// life has never heard, for a node that starts during a cut knows nothing of what they used. A zone that was heard and
	// is silent has its use reserved for it.
	const usablePart = (): number => {
		if (!hasSettled()) {
			return 1;
		}

		const parts = otherZones.map((zone) => zoneParts.get(zone) ?? 0);
		const sum = parts.reduce(
			(total, nodeFraction) => total + nodeFraction,
			zoneReachableFraction(),
		);
		return sum / (1 + otherZones.length);
	};

	return {
		admit(account, limit, count, now) {
			const {window} = open(account, limit);
			window.recordRequested(count, now);
			const {admissionFraction: nodeFraction} = stateOf(account, limit, now);
			if (nodeFraction >= 1 || randomFraction() < nodeFraction) {
				window.recordAdmitted(count, now);
				return {kind: 'admitted'};
			}

			return {
				kind: 'limited',
				retryAfterSeconds: retryAfter(nodeFraction, windowMs, randomFraction()),
			};
		},
		report(now) {
			const usages = new Map<string, Usage>();
			for (const [account, opened] of own) {
				opened.told = opened.window.usage(now);
				usages.set(account, opened.told);
			}

			return reportOwn(usages);
		},
		receiveNodeUsage: zoneNodes.record,
		zoneSum: (now) => reportZone(zoneNodes.sums(now)),
		receiveZoneUsage(zone, {nodeFraction, usages}, now) {
			if (!otherZones.includes(zone)) {
				return;
			}

			zoneParts.set(zone, nodeFraction);
			zones.record(zone, usages, now);
		},
		totals(now) {
			const sums = new Map(zoneNodes.sums(now));
			addUsages(sums, zones.sums(now));
			const silent = zones.admittedByUnreachable(zoneTimeoutMs, now);
			const accounts = reportTotals(sums).map(({account, ...total}) => ({
				account,
				total,
				admittedByUnreachable: silent.get(account) ?? 0,
			}));
			return {limitFraction: usablePart(), accounts};
		},
		receiveTotals(given, now) {
			heardAt = now;
			({limitFraction} = given);
			for (const total of given.accounts) {
				const ownAtReceipt = own.get(total.account)?.told ?? noUsage;
				known.set(total.account, {total, ownAtReceipt});
			}
		},
		state: stateOf,
	};
};

// The less is let through, the longer the account is likely to stay beyond its limit; at the longest it is as long as
// half a window. Spread out, so that those who are refused together do not come back together.
const retryAfter = (
	nodeFraction: number,
	windowMs: number,
	randomFraction: number,
): number => {
	const seconds =
		(windowMs / 2000) * (1 - nodeFraction) * (0.75 + randomFraction / 2);
	return Math.max(minimumRetryAfterSeconds, seconds);
};
