import {maximumRunsOfCrash, type Crash} from './crash.ts';
import {createQuarantineList, type QuarantineList} from './quarantine-list.ts';
import type {QuarantineEntry} from './quarantine-entry.ts';

/**
What is known against a request.
*/
export type Standing =
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
	hear(crash: Crash, now: number): void;
	/**
	Takes in that another node put a request in quarantine; returns whether that is news.
	*/
	hearEntry(entry: QuarantineEntry, now: number): boolean;
	/**
	A request was answered whole; returns whether anything was known against it.
	*/
	served(fingerprint: string): boolean;
	standing(fingerprint: string, now: number): Standing;
	/**
	Puts requests in quarantine of whose crashes all is heard, and returns them; called at each tick.
	*/
	settle(now: number): readonly QuarantineEntry[];
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
A request that was at so many crashes, one after the other, may be put in quarantine. Where whatever was at three crashes
is refused, 12 of 15,150 requests that crash nothing are with one that does, and 1,635 of 29,994 with three at once; with
the blame weighed as below none and 2 (ten plays each of `npm run benchmark -- quarantine`).
*/
export const fewestCrashes = 3;

/**
The part of the blame for its crashes that puts a request in quarantine. The blame for a crash is shared by all that
were there, by what each is to blame for elsewhere; two that were at the same three crashes have one and a half each.
*/
export const enoughBlame = 1.6;

// One more crash weighs five times as much, so that a request with three has most of the blame beside two dozen with one.
const weightOf = (crashes: number): number => 5 ** crashes;

/**
At so many crashes one after the other it is, whatever else was there.
*/
export const certainCrashes = 6;

/**
How long the other nodes have to tell what they saw of a crash, in milliseconds: the way between two regions, and what
they take to see that nobody listens any more.
*/
export const settleMs = 200;

/**
How long a crash is remembered, in milliseconds.
*/
export const crashRetentionMs = 1_800_000;

/**
Crashes that are remembered at the most; the oldest gives way. With all the requests that each may name they take about
a megabyte.
*/
export const maximumCrashes = 128;

type CrashRecord = {
	readonly at: number;
	readonly heardAt: number;
	/**
	By fingerprint, when it was sent to the server.
	*/
	readonly runs: Map<string, number>;
};

type RunAtCrash = {readonly sentAt: number; readonly crashedAt: number};

/**
Builds a ledger without an entry.
*/
export const createCrashLedger = (
	list: QuarantineList = createQuarantineList(),
): CrashLedger => {
	// In the order in which they were first heard of.
	const crashes = new Map<string, CrashRecord>();
	const livesOf = new Map<string, Set<string>>();
	const unsettled = new Set<string>();

	const forget = (life: string) => {
		for (const fingerprint of crashes.get(life)?.runs.keys() ?? []) {
			const lives = livesOf.get(fingerprint);
			lives?.delete(life);
			if (lives?.size === 0) {
				livesOf.delete(fingerprint);
			}
		}

		crashes.delete(life);
		unsettled.delete(life);
	};

	const recordOf = ({life, at}: Crash, now: number): CrashRecord => {
		const known = crashes.get(life);
		if (known) {
			return known;
		}

		if (crashes.size >= maximumCrashes) {
			forget(crashes.keys().next().value!);
		}

		const record = {at, heardAt: now, runs: new Map<string, number>()};
		crashes.set(life, record);
		unsettled.add(life);
		return record;
	};

	const isExplained = ({runs}: CrashRecord, fingerprint: string): boolean =>
		!list.isEmpty() &&
		runs.keys().some((other) => other !== fingerprint && list.isListed(other));

	const runsOf = (fingerprint: string): readonly RunAtCrash[] =>
		[...(livesOf.get(fingerprint) ?? [])]
			.map((life) => crashes.get(life)!)
			.filter((record) => !isExplained(record, fingerprint))
			.map(({at, runs}) => ({crashedAt: at, sentAt: runs.get(fingerprint)!}));

	// Crashes of which each came after the run before had ended: what was at several servers of a zone that lost power was
	// at one crash.
	const crashesInTurn = (fingerprint: string): number => {
		let count = list.crashesOwed(fingerprint);
		let endedAt = -Infinity;
		const runs = runsOf(fingerprint).toSorted(
			(left, right) => left.crashedAt - right.crashedAt,
		);
		for (const {sentAt, crashedAt} of runs) {
			if (!(sentAt >= endedAt)) {
				continue;
			}

			count += 1;
			endedAt = crashedAt;
		}

		return count;
	};

	// Its share of the blame for each crash, added up. Two that were at the same three crashes have one and a half each.
	const blameOf = (fingerprint: string): number => {
		let blame = list.crashesOwed(fingerprint);
		for (const life of livesOf.get(fingerprint) ?? []) {
			const record = crashes.get(life)!;
			if (isExplained(record, fingerprint)) {
				continue;
			}

			let weight = 0;
			for (const other of record.runs.keys()) {
				weight += weightOf(crashesInTurn(other));
			}

			blame += weightOf(crashesInTurn(fingerprint)) / weight;
		}

		return blame;
	};

	// Most requests were at one crash, and are no candidates.
	const candidates = (life: string): readonly string[] =>
		crashes
			.get(life)!
			.runs.keys()
			.filter((fingerprint) => crashesInTurn(fingerprint) >= fewestCrashes)
			.toArray();

	const judge = (life: string, now: number): QuarantineEntry | undefined => {
		const [first] = candidates(life).toSorted(
			(left, right) => crashesInTurn(right) - crashesInTurn(left),
		);
		if (first === undefined) {
			return undefined;
		}

		const isToBlame =
			crashesInTurn(first) >= certainCrashes || blameOf(first) >= enoughBlame;
		return isToBlame ? list.add(first, now) : undefined;
	};

	// Where a server had more under way than is remembered, what was at another crash as well goes before the rest.
	const hasPlaceFor = ({runs}: CrashRecord, fingerprint: string): boolean =>
		runs.size < maximumRunsOfCrash ||
		(runs.size < maximumRunsOfCrash * 2 && livesOf.has(fingerprint));

	const isUnsettled = (lives: ReadonlySet<string>): boolean =>
		lives.values().some((life) => unsettled.has(life));

	const dropOld = (now: number) => {
		for (const [life, {heardAt}] of crashes) {
			if (now - heardAt <= crashRetentionMs) {
				return;
			}

			forget(life);
		}
	};

	return {
		hear(crash, now) {
			const record = recordOf(crash, now);
			for (const {fingerprint, sentAt} of crash.runs) {
				if (!hasPlaceFor(record, fingerprint)) {
					continue;
				}

				// A node that was frozen, or cut off, tells late.
				if (!record.runs.has(fingerprint)) {
					unsettled.add(crash.life);
				}

				record.runs.set(fingerprint, sentAt);
				const lives = livesOf.get(fingerprint) ?? new Set();
				livesOf.set(fingerprint, lives.add(crash.life));
			}
		},
		hearEntry: list.hear,
		served(fingerprint) {
			const lives = livesOf.get(fingerprint);
			for (const life of lives ?? []) {
				crashes.get(life)?.runs.delete(fingerprint);
			}

			livesOf.delete(fingerprint);
			const wasListed = list.remove(fingerprint);
			return wasListed || lives !== undefined;
		},
		standing(fingerprint, now) {
			const until = list.until(fingerprint, now);
			if (until !== undefined) {
				return {kind: 'quarantined', until};
			}

			const lives = livesOf.get(fingerprint);
			if (!lives) {
				return {kind: 'clear'};
			}

			const count = crashesInTurn(fingerprint);
			if (count >= fewestCrashes && isUnsettled(lives)) {
				return {kind: 'pending'};
			}

			return count === 0 ? {kind: 'clear'} : {kind: 'suspect', crashes: count};
		},
		settle(now) {
			dropOld(now);
			list.tick(now);
			const found: QuarantineEntry[] = [];
			for (const life of unsettled) {
				if (now - crashes.get(life)!.heardAt < settleMs) {
					continue;
				}

				unsettled.delete(life);
				const entry = judge(life, now);
				if (entry) {
					found.push(entry);
				}
			}

			return found;
		},
		entries: list.entries,
		isEmpty: () => livesOf.size === 0 && list.isEmpty(),
		suspects: () => livesOf.size,
	};
};
