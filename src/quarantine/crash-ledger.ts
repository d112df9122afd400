import {createCrashRecords, type CrashRecord} from './crash-records.ts';
import type {Crash} from './crash.ts';
import {createQuarantineList, type QuarantineList} from './quarantine-list.ts';
import type {QuarantineEntry} from './quarantine-entry.ts';

/**
What is known against a request.
*/
export type QuarantineStatus =
	| {readonly kind: 'clear'}
	/**
	It was at servers when they crashed; so were others.
	*/
	| {readonly kind: 'suspect'; readonly crashes: number}
	/**
	What the other nodes saw of its latest crash is still to be heard.
	*/
	| {readonly kind: 'pending'}
	| {readonly kind: 'quarantined'; readonly until: number};

/**
Finds the requests that crash the servers that run them, by what all nodes saw under way at each server that crashed.

A request alone tells nothing: whatever shared the server was there as well. But its runs end with crashes one after the
other, and of all that was at its latest crash it was at the most crashes. A request that was answered whole anywhere is
cleared, and so is what shared crashes with one that is found out.
*/
export type CrashLedger = {
	/**
	Takes in what a node saw of a crash, in any order and any number of times.
	*/
	addCrash(crash: Crash, now: number): void;
	/**
	Takes in that another node put a request in quarantine; returns whether that is news.
	*/
	mergeEntry(entry: QuarantineEntry, now: number): boolean;
	/**
	A request was answered whole; returns whether anything was known against it.
	*/
	served(fingerprint: string): boolean;
	status(fingerprint: string, now: number): QuarantineStatus;
	/**
	Puts requests in quarantine of whose crashes all is heard, and returns them; called at each tick.
	*/
	evaluate(now: number): readonly QuarantineEntry[];
	/**
	Requests in quarantine.
	*/
	entries(now: number): readonly QuarantineEntry[];
	/**
	Whether nothing is known against any request.
	*/
	isEmpty(): boolean;
	/**
	Requests that were at servers when they crashed.
	*/
	suspects(): number;
};

/**
A request that was at so many crashes, one after the other, may be put in quarantine. Not whatever was at them is: requests
that crash nothing were there by chance, and the blame is weighed as below.
*/
export const minimumCrashes = 3;

/**
The part of the blame for its crashes that puts a request in quarantine. The blame for a crash is shared by all that
were there, by what each is to blame for elsewhere; two that were at the same three crashes have one and a half each.
*/
export const blameThreshold = 1.6;

// One more crash weighs five times as much, so that a request with three has most of the blame beside two dozen with one.
const weightOf = (crashes: number): number => 5 ** crashes;

/**
At so many crashes one after the other it is, whatever else was there.
*/
export const conclusiveCrashes = 6;

/**
How long the other nodes have to tell what they saw of a crash, in milliseconds: the way between two regions, and what
they take to see that nobody listens any more.
*/
export const crashReportWindowMs = 200;

/**
Builds a ledger without an entry.
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
			.map((life) => records.of(life)!)
			.filter((record) => !isExplained(record, fingerprint))
			.toArray();

	// Crashes of which each came after the run before had ended: what was at several servers of a zone that lost power was
	// at one crash.
	const crashesInTurn = (fingerprint: string): number => {
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

	// Its share of the blame for each crash, added up. Two that were at the same three crashes have one and a half each.
	const blameOf = (fingerprint: string): number => {
		let blame = list.priorCrashes(fingerprint);
		for (const {runs} of unexplained(fingerprint)) {
			let weight = 0;
			for (const other of runs.keys()) {
				weight += weightOf(crashesInTurn(other));
			}

			blame += weightOf(crashesInTurn(fingerprint)) / weight;
		}

		return blame;
	};

	// Most requests were at one crash, and are no candidates.
	const candidates = ({runs}: CrashRecord): readonly string[] =>
		runs
			.keys()
			.filter((fingerprint) => crashesInTurn(fingerprint) >= minimumCrashes)
			.toArray();

	const judge = (
		record: CrashRecord,
		now: number,
	): QuarantineEntry | undefined => {
		const [first] = candidates(record).toSorted(
			(left, right) => crashesInTurn(right) - crashesInTurn(left),
		);
		if (first === undefined) {
			return undefined;
		}

		const isToBlame =
			crashesInTurn(first) >= conclusiveCrashes ||
			blameOf(first) >= blameThreshold;
		return isToBlame ? list.add(first, now) : undefined;
	};

	const isUnsettled = (lives: ReadonlySet<string>): boolean =>
		lives.values().some((life) => unsettled.has(life));

	return {
		addCrash(crash, now) {
			// A node that was frozen, or cut off, tells late: its word may change what was concluded.
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

			const lives = records.incarnationIdsOf(fingerprint);
			if (lives.size === 0 && !list.isListed(fingerprint)) {
				return {kind: 'clear'};
			}

			const count = crashesInTurn(fingerprint);
			if (count >= minimumCrashes && isUnsettled(lives)) {
				return {kind: 'pending'};
			}

			return count === 0 ? {kind: 'clear'} : {kind: 'suspect', crashes: count};
		},
		evaluate(now) {
			records.dropOld(now);
			list.tick(now);
			const found: QuarantineEntry[] = [];
			for (const life of unsettled) {
				const record = records.of(life);
				if (record && now - record.receivedAt < crashReportWindowMs) {
					continue;
				}

				unsettled.delete(life);
				const entry = record && judge(record, now);
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
