import {
	judgeByBlame,
	judgeBySpecificity,
	minimumCrashes,
	minimumSequentialPartCrashes,
	type CrashJudge,
} from './crash-judge.ts';
import {createCrashRecords, type CrashRecord} from './crash-records.ts';
import {maximumRunsPerCrash, type Crash} from './crash.ts';
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
	/**
	Number of crashes at which something was in flight.
	*/
	crashesOf(fingerprint: string): number;
	/**
	Whether anything is, or recently was, in quarantine.
	*/
	hasListed(): boolean;
	/**
	Whether something that is listed was in flight at the crash of a server incarnation.
	*/
	explains(incarnationId: string): boolean;
};

// Each additional crash multiplies the weight by five, so that a request with three crashes has most of the blame even
// beside two dozen requests with one crash.
const weightOf = (crashes: number): number => 5 ** crashes;

/**
How long a node waits for the other nodes' reports of a crash, in milliseconds: the latency between two regions, and the
time they need to detect that the server no longer accepts connections.
*/
export const crashReportWindowMs = 200;

/**
Options of `createCrashLedger`.
*/
export type CrashLedgerOptions = {
	readonly list?: QuarantineList;
	/**
	Decides which of the suspects of a crash is at fault, if any.
	*/
	readonly judge?: CrashJudge;
	/**
	Number of sequential crashes from which on the judge is asked.
	*/
	readonly minimumSequentialCrashes?: number;
	/**
	How long reports of a crash are awaited, in milliseconds.
	*/
	readonly reportWindowMs?: number;
	/**
	Maximum number of fingerprints remembered per crash.
	*/
	readonly maximumRuns?: number;
	/**
	Whether the crash of a server incarnation has a known cause that this ledger does not list.
	*/
	readonly isExplainedElsewhere?: (incarnationId: string) => boolean;
};

/**
Creates an empty ledger.
*/
export const createCrashLedger = ({
	list = createQuarantineList(),
	judge = judgeByBlame,
	minimumSequentialCrashes = minimumCrashes,
	reportWindowMs = crashReportWindowMs,
	maximumRuns = maximumRunsPerCrash,
	isExplainedElsewhere = () => false,
}: CrashLedgerOptions = {}): CrashLedger => {
	const records = createCrashRecords(maximumRuns);
	const unsettled = new Set<string>();

	const hasListedRun = ({runs}: CrashRecord, except?: string): boolean =>
		!list.isEmpty() &&
		runs.keys().some((other) => other !== except && list.isListed(other));

	const unexplained = (fingerprint: string): readonly CrashRecord[] =>
		records
			.incarnationIdsOf(fingerprint)
			.values()
			.filter((incarnationId) => !isExplainedElsewhere(incarnationId))
			.map((incarnationId) => records.of(incarnationId)!)
			.filter((record) => !hasListedRun(record, fingerprint))
			.toArray();

	// Valid until the records or the list change, or the next tick: the counts of all that were in flight at a crash weigh its blame.
	let knownCounts = new Map<string, number>();
	const forgetCounts = () => {
		knownCounts = new Map();
	};

	const sequentialCrashes = (fingerprint: string): number => {
		const count =
			knownCounts.get(fingerprint) ?? countSequentialCrashes(fingerprint);
		knownCounts.set(fingerprint, count);
		return count;
	};

	// Counts the crashes at which the request was sent after its previous run had ended. A request that was at several
	// servers of a zone that lost power was thus at one crash.
	const countSequentialCrashes = (fingerprint: string): number => {
		let count = list.priorCrashes(fingerprint);
		let endedAt = -Infinity;
		const inOrder = unexplained(fingerprint).toSorted(
			(left, right) => left.at - right.at,
		);
		for (const {at, runs} of inOrder) {
			if (runs.get(fingerprint)!.sentAt < endedAt) {
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
			let total = 0;
			for (const [other, {count}] of runs) {
				total += weightOf(sequentialCrashes(other)) / count;
			}

			const {count} = runs.get(fingerprint)!;
			blame += weightOf(sequentialCrashes(fingerprint)) / count / total;
		}

		return blame;
	};

	const meanCountOf = (fingerprint: string): number => {
		const found = unexplained(fingerprint);
		const total = found.reduce(
			(sum, {runs}) => sum + runs.get(fingerprint)!.count,
			0,
		);
		return total / found.length;
	};

	// Most requests were at a single crash and are not candidates.
	const candidates = ({runs}: CrashRecord): readonly string[] =>
		runs
			.keys()
			.filter(
				(fingerprint) =>
					sequentialCrashes(fingerprint) >= minimumSequentialCrashes,
			)
			.toArray();

	const evaluateCrash = (
		record: CrashRecord,
		now: number,
	): QuarantineEntry | undefined => {
		const suspects = candidates(record).map((fingerprint) => ({
			fingerprint,
			sequentialCrashes: sequentialCrashes(fingerprint),
			wasInQuarantine: list.isListed(fingerprint),
			crashes: () => unexplained(fingerprint).length,
			blame: () => blameOf(fingerprint),
			meanCount: () => meanCountOf(fingerprint),
		}));
		const fingerprint = judge(suspects);
		if (fingerprint === undefined) {
			return undefined;
		}

		forgetCounts();
		return list.add(fingerprint, now);
	};

	const isUnsettled = (incarnationIds: ReadonlySet<string>): boolean =>
		incarnationIds
			.values()
			.some((incarnationId) => unsettled.has(incarnationId));

	return {
		addCrash(crash, now) {
			// A node that was frozen or partitioned reports late, and its report may change the result.
			forgetCounts();
			if (records.add(crash, now)) {
				unsettled.add(crash.incarnationId);
			}
		},
		mergeEntry(entry, now) {
			forgetCounts();
			return list.merge(entry, now);
		},
		served(fingerprint) {
			const wasAtCrash = records.clear(fingerprint);
			const wasListed = list.remove(fingerprint);
			if (wasAtCrash || wasListed) {
				forgetCounts();
			}

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
			if (count >= minimumSequentialCrashes && isUnsettled(incarnationIds)) {
				return {kind: 'pending'};
			}

			return count === 0 ? {kind: 'clear'} : {kind: 'suspect', crashes: count};
		},
		evaluate(now) {
			records.dropOld(now);
			list.tick(now);
			forgetCounts();
			const found: QuarantineEntry[] = [];
			for (const incarnationId of unsettled) {
				const record = records.of(incarnationId);
				if (record && now - record.receivedAt < reportWindowMs) {
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
		crashesOf: (fingerprint) => records.incarnationIdsOf(fingerprint).size,
		hasListed: () => !list.isEmpty(),
		explains(incarnationId) {
			const record = records.of(incarnationId);
			return record !== undefined && hasListedRun(record);
		},
	};
};

/**
How long reports of the parts of prompts at a crash are awaited, in milliseconds: a tick of the reporting node, the latency between two
regions, and the time in which requests that are about to end clear sound parts.
*/
export const partReportWindowMs = 400;

/**
Maximum number of parts remembered per crash: two for each request that a server runs and queues.
*/
export const maximumPartsPerCrash = 256;

/**
Creates an empty ledger for parts of prompts.
*/
export const createPartLedger = (): CrashLedger =>
	createCrashLedger({
		judge: judgeBySpecificity,
		minimumSequentialCrashes: minimumSequentialPartCrashes,
		reportWindowMs: partReportWindowMs,
		maximumRuns: maximumPartsPerCrash,
	});
