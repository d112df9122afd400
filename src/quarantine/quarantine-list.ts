import {
	probationMs,
	quarantineMs,
	type QuarantineEntry,
} from './quarantine-entry.ts';

/**
The requests that are, or recently were, in quarantine.
*/
export type QuarantineList = {
	/**
	Puts a request in quarantine, for longer than the last time; returns undefined if it already is in quarantine.
	*/
	add(fingerprint: string, now: number): QuarantineEntry | undefined;
	/**
	Merges an entry of another node; returns whether it newly puts the request in quarantine.
	*/
	merge(entry: QuarantineEntry, now: number): boolean;
	/**
	Removes a request; returns whether it was listed.
	*/
	remove(fingerprint: string): boolean;
	/**
	When the quarantine of a request ends; undefined if it is not in quarantine.
	*/
	until(fingerprint: string, now: number): number | undefined;
	/**
	Whether a request is, or recently was, in quarantine.
	*/
	isListed(fingerprint: string): boolean;
	/**
	Number of crashes that count against a request in advance: a request that was in quarantine returns there after one
	more crash.
	*/
	priorCrashes(fingerprint: string): number;
	entries(now: number): readonly QuarantineEntry[];
	isEmpty(): boolean;
	/**
	Removes entries whose probation is over; called at each tick.
	*/
	tick(now: number): void;
};

/**
Maximum number of requests listed; the one whose quarantine ends first is evicted.
*/
export const maximumListed = 512;

const crashesAfterQuarantine = 2;

// Nodes compute slightly different end times for the same quarantine.
const endToleranceMs = 2000;

/**
Creates an empty list.
*/
export const createQuarantineList = (): QuarantineList => {
	const listed = new Map<string, QuarantineEntry>();

	const store = (entry: QuarantineEntry) => {
		listed.set(entry.fingerprint, entry);
		if (listed.size <= maximumListed) {
			return;
		}

		const [first] = listed
			.values()
			.toArray()
			.toSorted((left, right) => left.until - right.until);
		listed.delete(first!.fingerprint);
	};

	const isInForce = ({until}: QuarantineEntry, now: number): boolean =>
		now < until;

	return {
		add(fingerprint, now) {
			const known = listed.get(fingerprint);
			if (known && isInForce(known, now)) {
				return undefined;
			}

			const level = (known?.level ?? 0) + 1;
			const entry = {fingerprint, level, until: now + quarantineMs(level)};
			store(entry);
			return entry;
		},
		merge(entry, now) {
			const known = listed.get(entry.fingerprint);
			const isNewer =
				!known ||
				(entry.level >= known.level &&
					entry.until > known.until + endToleranceMs);
			if (!isNewer) {
				return false;
			}

			const wasInForce = known !== undefined && isInForce(known, now);
			store(entry);
			return !wasInForce;
		},
		remove: (fingerprint) => listed.delete(fingerprint),
		until(fingerprint, now) {
			const known = listed.get(fingerprint);
			return known && isInForce(known, now) ? known.until : undefined;
		},
		isListed: (fingerprint) => listed.has(fingerprint),
		priorCrashes: (fingerprint) =>
			listed.has(fingerprint) ? crashesAfterQuarantine : 0,
		entries: (now) =>
			listed
				.values()
				.filter((entry) => isInForce(entry, now))
				.toArray(),
		isEmpty: () => listed.size === 0,
		tick(now) {
			for (const [fingerprint, {until}] of listed) {
				if (now - until > probationMs) {
					listed.delete(fingerprint);
				}
			}
		},
	};
};
