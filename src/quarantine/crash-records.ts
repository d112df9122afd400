import type {Crash, CrashedRun} from './crash.ts';

/**
How long a crash is remembered, in milliseconds.
*/
export const crashRetentionMs = 1_800_000;

/**
Maximum number of crashes remembered; the oldest is evicted first. With the maximum number of requests per crash, they
take about a megabyte.
*/
export const maximumCrashes = 128;

/**
One crash, combined from the reports of all nodes.
*/
export type CrashRecord = {
	readonly at: number;
	readonly receivedAt: number;
	/**
	What was in flight at the server, by fingerprint.
	*/
	readonly runs: Map<string, RecordedRun>;
};

/**
What was in flight under one fingerprint.
*/
export type RecordedRun = {
	/**
	The time at which it was sent to the server; of a part of prompts, the latest request that has it.
	*/
	readonly sentAt: number;
	/**
	Number of requests in flight; 1 except for parts of prompts.
	*/
	readonly count: number;
};

/**
The latest crashes, and the requests that were in flight at each.
*/
export type CrashRecords = {
	/**
	Adds a node's report of a crash; returns whether it contains a new request.
	*/
	add(crash: Crash, now: number): boolean;
	of(incarnationId: string): CrashRecord | undefined;
	/**
	The incarnations of servers that crashed while a request was in flight there.
	*/
	incarnationIdsOf(fingerprint: string): ReadonlySet<string>;
	/**
	Removes a request from all crashes; returns whether it was in flight at one.
	*/
	clear(fingerprint: string): boolean;
	/**
	Removes crashes whose retention time is over; called at each tick.
	*/
	dropOld(now: number): void;
	/**
	Number of requests that were in flight at a crash.
	*/
	size(): number;
};

const none: ReadonlySet<string> = new Set();

/**
Creates empty records.

@param maximumRuns Maximum number of fingerprints remembered per crash.
*/
export const createCrashRecords = (maximumRuns: number): CrashRecords => {
	// In the order of the first report of each.
	const crashes = new Map<string, CrashRecord>();
	const incarnationIdsByFingerprint = new Map<string, Set<string>>();

	const remove = (incarnationId: string) => {
		for (const fingerprint of crashes.get(incarnationId)?.runs.keys() ?? []) {
			const incarnationIds = incarnationIdsByFingerprint.get(fingerprint);
			incarnationIds?.delete(incarnationId);
			if (incarnationIds?.size === 0) {
				incarnationIdsByFingerprint.delete(fingerprint);
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
			remove(crashes.keys().next().value!);
		}

		const record = {at, receivedAt: now, runs: new Map<string, RecordedRun>()};
		crashes.set(incarnationId, record);
		return record;
	};

	// If a server had more requests in flight than are remembered, requests that were at another crash as well take
	// precedence over the others.
	const hasCapacityFor = ({runs}: CrashRecord, fingerprint: string): boolean =>
		runs.size < maximumRuns ||
		(runs.size < maximumRuns * 2 &&
			incarnationIdsByFingerprint.has(fingerprint));

	return {
		add(crash, now) {
			const record = recordOf(crash, now);
			let isNew = false;
			for (const run of crash.runs) {
				const {fingerprint} = run;
				if (!hasCapacityFor(record, fingerprint)) {
					continue;
				}

				isNew ||= !record.runs.has(fingerprint);
				record.runs.set(
					fingerprint,
					mergeRuns(record.runs.get(fingerprint), run),
				);
				const incarnationIds =
					incarnationIdsByFingerprint.get(fingerprint) ?? new Set();
				incarnationIdsByFingerprint.set(
					fingerprint,
					incarnationIds.add(crash.incarnationId),
				);
			}

			return isNew;
		},
		of: (incarnationId) => crashes.get(incarnationId),
		incarnationIdsOf: (fingerprint) =>
			incarnationIdsByFingerprint.get(fingerprint) ?? none,
		clear(fingerprint) {
			for (const incarnationId of incarnationIdsByFingerprint.get(
				fingerprint,
			) ?? none) {
				crashes.get(incarnationId)?.runs.delete(fingerprint);
			}

			return incarnationIdsByFingerprint.delete(fingerprint);
		},
		dropOld(now) {
			for (const [incarnationId, {receivedAt}] of crashes) {
				if (now - receivedAt <= crashRetentionMs) {
					return;
				}

				remove(incarnationId);
			}
		},
		size: () => incarnationIdsByFingerprint.size,
	};
};

// Several nodes have requests with the same part in flight; a whole request is reported again by the node that has it.
const mergeRuns = (
	known: RecordedRun | undefined,
	{sentAt, runs}: CrashedRun,
): RecordedRun =>
	known && runs !== undefined
		? {
				sentAt: Math.max(known.sentAt, sentAt),
				count: known.count + runs,
			}
		: {sentAt, count: runs ?? 1};
