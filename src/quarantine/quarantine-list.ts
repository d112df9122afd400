import {
	probationMs,
	quarantineMs,
	type QuarantineEntry,
} from './quarantine-entry.ts';

/**
The requests in quarantine, and those that lately were.
*/
export type QuarantineList = {
	/**
	Puts a request in quarantine, for longer than the last time; undefined where it is in quarantine.
	*/
	add(fingerprint: string, now: number): QuarantineEntry | undefined;
	/**
	Takes in what another node has; returns whether it is news.
	*/
	merge(entry: QuarantineEntry, now: number): boolean;
	/**
	Returns whether it was there.
	*/
	remove(fingerprint: string): boolean;
	/**
	Until when a request is in quarantine; undefined where it is not.
	*/
	until(fingerprint: string, now: number): number | undefined;
	/**
	Whether a request is, or lately was, in quarantine.
	*/
	isListed(fingerprint: string): boolean;
	/**
	Crashes that count against a request beforehand: one that was in quarantine goes back after one more.
	*/
	priorCrashes(fingerprint: string): number;
	entries(now: number): readonly QuarantineEntry[];
	isEmpty(): boolean;
	/**
	Forgets what was over long ago; called at each tick.
	*/
	tick(now: number): void;
};

/**
Requests that are listed at the most; the one whose quarantine ends first gives way.
*/
export const maximumListed = 512;

const owedAfterQuarantine = 2;

// Nodes reckon the end of one quarantine a little differently.
const sameEndMs = 2000;

/**
Builds an empty list.
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
			const isNews =
				!known ||
				(entry.level >= known.level && entry.until > known.until + sameEndMs);
			if (!isNews) {
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
			listed.has(fingerprint) ? owedAfterQuarantine : 0,
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
