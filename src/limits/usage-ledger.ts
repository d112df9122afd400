import type {Usage} from './usage-window.ts';

/**
Usage of one client account, as exchanged between nodes.
*/
export type AccountUsage = Usage & {readonly account: string};

/**
Latest usage reports, by reporter: a node or a zone.
*/
export type UsageLedger = {
	/**
	Records the report of a reporter; accounts that are not included remain unchanged.
	*/
	record(reporter: string, usages: readonly AccountUsage[], now: number): void;
	/**
	Returns the sum over all reporters, by account.
	*/
	sums(now: number): ReadonlyMap<string, Usage>;
	/**
	Returns the units admitted by reporters without a report for the given time, by account.
	*/
	admittedByUnreachable(
		timeoutMs: number,
		now: number,
	): ReadonlyMap<string, number>;
};

type Entry = {readonly usages: Map<string, Usage>; receivedAt: number};

/**
Time without a report after which a reporter's requested units are ignored, in milliseconds, because its callers use other nodes by
then. Its admitted units still count.
*/
export const requestedRetentionMs = 1500;

/**
Creates an empty ledger.

@param retentionMs Retention of the usage of a reporter that has stopped reporting, in milliseconds.
*/
export const createUsageLedger = (retentionMs: number): UsageLedger => {
	const entries = new Map<string, Entry>();

	const removeExpired = (now: number) => {
		for (const [reporter, {receivedAt}] of entries) {
			if (now - receivedAt > retentionMs) {
				entries.delete(reporter);
			}
		}
	};

	return {
		record(reporter, usages, now) {
			const entry = entries.get(reporter) ?? {
				usages: new Map(),
				receivedAt: now,
			};
			entries.set(reporter, entry);
			entry.receivedAt = now;
			for (const {account, requested, admitted} of usages) {
				if (requested === 0 && admitted === 0) {
					entry.usages.delete(account);
				} else {
					entry.usages.set(account, {requested, admitted});
				}
			}
		},
		sums(now) {
			removeExpired(now);
			const sums = new Map<string, Usage>();
			for (const {usages, receivedAt} of entries.values()) {
				addUsages(sums, usages, now - receivedAt <= requestedRetentionMs);
			}

			return sums;
		},
		admittedByUnreachable(timeoutMs, now) {
			const sums = new Map<string, number>();
			for (const {usages, receivedAt} of entries.values()) {
				if (now - receivedAt <= timeoutMs) {
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
Adds usages to sums, by account; requested units only if they still count.
*/
export const addUsages = (
	sums: Map<string, Usage>,
	usages: ReadonlyMap<string, Usage>,
	shouldAddRequested = true,
): void => {
	for (const [account, {requested, admitted}] of usages) {
		const sum = sums.get(account);
		sums.set(account, {
			requested: (sum?.requested ?? 0) + (shouldAddRequested ? requested : 0),
			admitted: (sum?.admitted ?? 0) + admitted,
		});
	}
};
