import type {Usage} from './usage-window.ts';

/**
The usage of one client account, as nodes tell it to each other.
*/
export type AccountUsage = Usage & {readonly account: string};

/**
What others last told of their usage, by who told it.
*/
export type UsageLedger = {
	/**
	Takes in what a teller says; accounts that it does not name stay as they were.
	*/
	record(teller: string, usages: readonly AccountUsage[], now: number): void;
	/**
	The sum over all tellers, by account.
	*/
	sums(now: number): ReadonlyMap<string, Usage>;
	/**
	What those let through that were not heard for so long, by account.
	*/
	admittedByUnreachable(
		silentMs: number,
		now: number,
	): ReadonlyMap<string, number>;
};

type Entry = {readonly usages: Map<string, Usage>; heardAt: number};

/**
What a teller that is not heard was asked for counts no more after this time, in milliseconds: its callers go to other
nodes. What it let through still does.
*/
export const requestedRetentionMs = 1500;

/**
Builds an empty ledger.

@param keepMs For how long a teller that has gone silent counts, in milliseconds.
*/
export const createUsageLedger = (keepMs: number): UsageLedger => {
	const entries = new Map<string, Entry>();

	const dropOld = (now: number) => {
		for (const [teller, {heardAt}] of entries) {
			if (now - heardAt > keepMs) {
				entries.delete(teller);
			}
		}
	};

	return {
		record(teller, usages, now) {
			const entry = entries.get(teller) ?? {usages: new Map(), heardAt: now};
			entries.set(teller, entry);
			entry.heardAt = now;
			for (const {account, requested, admitted} of usages) {
				if (requested === 0 && admitted === 0) {
					entry.usages.delete(account);
				} else {
					entry.usages.set(account, {requested, admitted});
				}
			}
		},
		sums(now) {
			dropOld(now);
			const sums = new Map<string, Usage>();
			for (const {usages, heardAt} of entries.values()) {
				addUsages(sums, usages, now - heardAt <= requestedRetentionMs);
			}

			return sums;
		},
		admittedByUnreachable(silentMs, now) {
			const sums = new Map<string, number>();
			for (const {usages, heardAt} of entries.values()) {
				if (now - heardAt <= silentMs) {
					continue;
				}

				for (const [account, {admitted}] of usages) {
					sums.set(account, (sums.get(account) ?? 0) + admitted);
				}
			}

			return sums;
		},
	};
};

/**
Adds usages to sums, by account; what was asked for only where that still counts.
*/
export const addUsages = (
	sums: Map<string, Usage>,
	usages: ReadonlyMap<string, Usage>,
	hasAsked = true,
): void => {
	for (const [account, {requested, admitted}] of usages) {
		const sum = sums.get(account);
		sums.set(account, {
			requested: (sum?.requested ?? 0) + (hasAsked ? requested : 0),
			admitted: (sum?.admitted ?? 0) + admitted,
		});
	}
};
