import {createCrashRecords, type CrashRecord} from './crash-records.ts';
import type {Crash} from './crash.ts';
import {createQuarantineList, type QuarantineList} from './quarantine-list.ts';
import type {QuarantineEntry} from './quarantine-entry.ts';

/**
Whether a request is suspected of crashing servers, or in quarantine for it.
*/
export type QuarantineStatus =
	| {readonly kind: 'clear'}
	/**
	The request was in flight at servers when they crashed, as were others.
	*/
	| {readonly kind: 'suspect'; readonly crashes: number}
	/**
	Other nodes may still report what they saw of the request's latest crash.
	*/
	| {readonly kind: 'pending'}
	| {readonly kind: 'quarantined'; readonly until: number};

/**
Finds the requests that crash servers, from the requests that all nodes had in flight at each server that crashed.

One crash does not identify the request, because all requests that shared the server were in flight as well. But every
run of the faulty request ends in a crash, one after the other, and of all requests at its latest crash it was at the most
crashes. A request that is completed anywhere is cleared, and so are requests that shared crashes with one that is found.
*/
export type CrashLedger = {
	/**
	Adds a node's report of a crash. Reports may arrive in any order and any number of times.
	*/
	addCrash(crash: Crash, now: number): void;
	/**
	Merges a quarantine entry of another node; returns whether it newly puts the request in quarantine.
	*/
	mergeEntry(entry: QuarantineEntry, now: number): boolean;
	/**
	Clears a request that received a complete answer; returns whether it was suspected or listed.
	*/
	served(fingerprint: string): boolean;
	status(fingerprint: string, now: number): QuarantineStatus;
	/**
	Evaluates the crashes whose report window is over, puts requests in quarantine and returns them; called at each tick.
	*/
	evaluate(now: number): readonly QuarantineEntry[];
	/**
	The requests in quarantine.
	*/
	entries(now: number): readonly QuarantineEntry[];
	/**
	Whether no request is suspected or listed.
	*/
	isEmpty(): boolean;
	/**
	Number of requests that were in flight at servers when they crashed.
	*/
	suspects(): number;
};

/**
Minimum number of sequential crashes after which a request may be put in quarantine. Not every such request is: harmless
requests may have been there by chance, so the blame is weighed as described below.
*/
export const minimumCrashes = 3;

/**
The blame at which a request is put in quarantine. The blame for a crash is shared among the requests in flight,
weighted by the number of their crashes; two requests that were at the same three crashes have a blame of 1.5 each.
*/
export const blameThreshold = 1.6;

// Each additional crash multiplies the weight by five, so that a request with three crashes has most of the blame even
// beside two dozen requests with one crash.
const weightOf = (crashes: number): number => 5 ** crashes;

/**
Number of sequential crashes at which a request is put in quarantine whatever other requests were in flight.
*/
export const conclusiveCrashes = 6;

/**
How long a node waits for the other nodes' reports of a crash, in milliseconds: the latency between two regions, and the
time they need to detect that the server no longer accepts connections.
*/
export const crashReportWindowMs = 200;

/**
Creates an empty ledger.
*/
export const createCrashLedger = (
	list: QuarantineList = createQuarantineList(),
): CrashLedger => {
	const records = createCrashRecords();
	const unsettled = new Set<string>();

	const isExplained = ({runs}: CrashRecord, fingerprint: string): boolean =>
		!list.isEmpty() &&
		runs.keys().some((other) => other !== fingerprint && list.isListed(other));

	const unexplained = (fingerprint: string): readonly CrashRecord[] =>
		records
			.incarnationIdsOf(fingerprint)
			.values()
			.map((incarnationId) => records.of(incarnationId)!)
			.filter((record) => !isExplained(record, fingerprint))
			.toArray();

	// Counts the crashes at which the request was sent after its previous run had ended. A request that was at several
	// servers of a zone that lost power was thus at one crash.
	const sequentialCrashes = (fingerprint: string): number => {
		let count = list.priorCrashes(fingerprint);
		let endedAt = -Infinity;
		const inOrder = unexplained(fingerprint).toSorted(
			(left, right) => left.at - right.at,
		);
		for (const {at, runs} of inOrder) {
			if (runs.get(fingerprint)! < endedAt) {
				continue;
			}

			count += 1;
			endedAt = at;
		}

		return count;
	};

	// Sums the request's share of the blame for each crash. Two requests that were at the same three crashes have 1.5 each.
	const blameOf = (fingerprint: string): number => {
		let blame = list.priorCrashes(fingerprint);
		for (const {runs} of unexplained(fingerprint)) {
			let weight = 0;
			for (const other of runs.keys()) {
				weight += weightOf(sequentialCrashes(other));
			}

			blame += weightOf(sequentialCrashes(fingerprint)) / weight;
		}

		return blame;
	};

	// Most requests were at a single crash and are not candidates.
	const candidates = ({runs}: CrashRecord): readonly string[] =>
		runs
			.keys()
			.filter((fingerprint) => sequentialCrashes(fingerprint) >= minimumCrashes)
			.toArray();

	const evaluateCrash = (
		record: CrashRecord,
		now: number,
	): QuarantineEntry | undefined => {
		const [first] = candidates(record).toSorted(
			(left, right) => sequentialCrashes(right) - sequentialCrashes(left),
		);
		if (first === undefined) {
			return undefined;
		}

		const isToBlame =
			sequentialCrashes(first) >= conclusiveCrashes ||
			blameOf(first) >= blameThreshold;
		return isToBlame ? list.add(first, now) : undefined;
	};

	const isUnsettled = (incarnationIds: ReadonlySet<string>): boolean =>
		incarnationIds
			.values()
			.some((incarnationId) => unsettled.has(incarnationId));

	return {
		addCrash(crash, now) {
			// A node that was frozen or partitioned reports late, and its report may change the result.
			if (records.add(crash, now)) {
				unsettled.add(crash.incarnationId);
			}
		},
		mergeEntry: list.merge,
		served(fingerprint) {
			const wasAtCrash = records.clear(fingerprint);
			const wasListed = list.remove(fingerprint);
			return wasAtCrash || wasListed;
		},
		status(fingerprint, now) {
			const until = list.until(fingerprint, now);
			if (until !== undefined) {
				return {kind: 'quarantined', until};
			}

			const incarnationIds = records.incarnationIdsOf(fingerprint);
			if (incarnationIds.size === 0 && !list.isListed(fingerprint)) {
				return {kind: 'clear'};
			}

			const count = sequentialCrashes(fingerprint);
			if (count >= minimumCrashes && isUnsettled(incarnationIds)) {
				return {kind: 'pending'};
			}

			return count === 0 ? {kind: 'clear'} : {kind: 'suspect', crashes: count};
		},
		evaluate(now) {
			records.dropOld(now);
			list.tick(now);
			const found: QuarantineEntry[] = [];
			for (const incarnationId of unsettled) {
				const record = records.of(incarnationId);
				if (record && now - record.receivedAt < crashReportWindowMs) {
					continue;
				}

				unsettled.delete(incarnationId);
				const entry = record && evaluateCrash(record, now);
				if (entry) {
					found.push(entry);
				}
			}

			return found;
		},
		entries: list.entries,
		isEmpty: () => records.size() === 0 && list.isEmpty(),
		suspects: records.size,
	};
};
