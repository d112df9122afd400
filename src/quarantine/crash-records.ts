import {maximumRunsPerCrash, type Crash} from './crash.ts';

/**
How long a crash is remembered, in milliseconds.
*/
export const crashRetentionMs = 1_800_000;

/**
Crashes that are remembered at the most; the oldest gives way. With all the requests that each may name they take about
a megabyte.
*/
export const maximumCrashes = 128;

/**
What all nodes told of one crash.
*/
export type CrashRecord = {
	readonly at: number;
	readonly receivedAt: number;
	/**
	By fingerprint, when it was sent to the server.
	*/
	readonly runs: Map<string, number>;
};

/**
The latest crashes, and which requests were at them.
*/
export type CrashRecords = {
	/**
	Takes in what a node saw of a crash; returns whether that is news.
	*/
	add(crash: Crash, now: number): boolean;
	of(life: string): CrashRecord | undefined;
	/**
	Lives of servers that ended while a request was there.
	*/
	incarnationIdsOf(fingerprint: string): ReadonlySet<string>;
	/**
	Takes a request off all crashes; returns whether it was at one.
	*/
	clear(fingerprint: string): boolean;
	/**
	Forgets what is too old; called at each tick.
	*/
	dropOld(now: number): void;
	/**
	Requests that were at a crash.
	*/
	size(): number;
};

const none: ReadonlySet<string> = new Set();

/**
Builds records without a crash.
*/
export const createCrashRecords = (): CrashRecords => {
	// In the order in which they were first heard of.
	const crashes = new Map<string, CrashRecord>();
	const livesByRun = new Map<string, Set<string>>();

	const forget = (incarnationId: string) => {
		for (const fingerprint of crashes.get(incarnationId)?.runs.keys() ?? []) {
			const lives = livesByRun.get(fingerprint);
			lives?.delete(incarnationId);
			if (lives?.size === 0) {
				livesByRun.delete(fingerprint);
			}
		}

		crashes.delete(incarnationId);
	};

	const recordOf = ({incarnationId, at}: Crash, now: number): CrashRecord => {
		const known = crashes.get(incarnationId);
		if (known) {
			return known;
		}

		if (crashes.size >= maximumCrashes) {
			forget(crashes.keys().next().value!);
		}

		const record = {at, receivedAt: now, runs: new Map<string, number>()};
		crashes.set(incarnationId, record);
		return record;
	};

	// Where a server had more under way than is remembered, what was at another crash as well goes before the rest.
	const hasPlaceFor = ({runs}: CrashRecord, fingerprint: string): boolean =>
		runs.size < maximumRunsPerCrash ||
		(runs.size < maximumRunsPerCrash * 2 && livesByRun.has(fingerprint));

	return {
		add(crash, now) {
			const record = recordOf(crash, now);
			let isNews = false;
			for (const {fingerprint, sentAt} of crash.runs) {
				if (!hasPlaceFor(record, fingerprint)) {
					continue;
				}

				isNews ||= !record.runs.has(fingerprint);
				record.runs.set(fingerprint, sentAt);
				const lives = livesByRun.get(fingerprint) ?? new Set();
				livesByRun.set(fingerprint, lives.add(crash.incarnationId));
			}

			return isNews;
		},
		of: (incarnationId) => crashes.get(incarnationId),
		incarnationIdsOf: (fingerprint) => livesByRun.get(fingerprint) ?? none,
		clear(fingerprint) {
			for (const incarnationId of livesByRun.get(fingerprint) ?? none) {
				crashes.get(incarnationId)?.runs.delete(fingerprint);
			}

			return livesByRun.delete(fingerprint);
		},
		dropOld(now) {
			for (const [incarnationId, {receivedAt}] of crashes) {
				if (now - receivedAt <= crashRetentionMs) {
					return;
				}

				forget(incarnationId);
			}
		},
		size: () => livesByRun.size,
	};
};
