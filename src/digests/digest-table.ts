import {
	digestKey,
	type DigestEntry,
	type DigestScope,
	type DigestValue,
} from './digest-entry.ts';

/**
A digest value with its reporter and the local time at which it was observed.
*/
export type DatedValue = {
	readonly value: DigestValue;
	readonly observedAt: number;
	readonly reporter: string;
};

/**
Identity of the local node, entry sizing and retention of a digest table.
*/
export type DigestTableOptions = {
	readonly node: string;
	readonly availabilityZone: string;
	/**
	Start time of this process according to membership. It can increase once, if other nodes know a later incarnation.
	*/
	readonly incarnation: () => number;
	/**
	Size of an entry on the wire, in bytes.
	*/
	readonly sizeOf: (entry: DigestEntry) => number;
	/**
	Time after which an entry expires, in milliseconds, per kind.
	*/
	readonly retentionMs?: Partial<Record<DigestValue['kind'], number>>;
};

/**
Soft state that nodes gossip with their heartbeats.
*/
export type DigestTable = {
	/**
	Publishes a value. It is gossiped until every reachable node is likely to have it.
	*/
	put(value: DigestValue, scope: DigestScope, now: number): void;
	/**
	Merges entries of a peer and returns those that were new.
	*/
	apply(entries: readonly DigestEntry[], now: number): readonly DatedValue[];
	/**
	Selects entries for a message to a zone, within a size budget in bytes.
	*/
	select(
		availabilityZone: string,
		budgetBytes: number,
		fanOut: number,
		now: number,
	): readonly DigestEntry[];
	/**
	Returns all entries that may be sent to a zone, for a node that has just joined or resumed.
	*/
	allEntries(availabilityZone: string, now: number): readonly DigestEntry[];
	/**
	Returns the unexpired values of one kind.
	*/
	values<Kind extends DigestValue['kind']>(
		kind: Kind,
		now: number,
	): ReadonlyArray<
		DatedValue & {readonly value: Extract<DigestValue, {kind: Kind}>}
	>;
	size(): number;
};

type Row = {
	readonly entry: DigestEntry;
	readonly observedAt: number;
	readonly bytes: number;
	readonly transmissions: number;
};

const defaultRetentionMs: Readonly<Record<DigestValue['kind'], number>> = {
	loads: 30_000,
	'in-flight': 10_000,
	leaving: 3_600_000,
	'zone-summary': 60_000,
	demand: 10_000,
};

// Two nodes' reports of the same load count as equally recent if they differ by no more than this.
const freshnessMarginMs = 50;

/**
Creates an empty digest table.
*/
export const createDigestTable = (options: DigestTableOptions): DigestTable => {
	const rows = new Map<string, Row>();
	const retention = {...defaultRetentionMs, ...options.retentionMs};
	let counter = 0;

	const isExpired = ({entry, observedAt}: Row, now: number) =>
		now - observedAt > retention[entry.value.kind];

	const store = (entry: DigestEntry, observedAt: number) => {
		rows.set(digestKey(entry.value), {
			entry,
			observedAt,
			bytes: options.sizeOf(entry),
			transmissions: 0,
		});
	};

	const isNewer = (entry: DigestEntry, observedAt: number): boolean => {
		const known = rows.get(digestKey(entry.value));
		if (!known) {
			return true;
		}

		if (entry.value.kind === 'leaving') {
			return false;
		}

		if (known.entry.reporter === entry.reporter) {
			return (
				entry.incarnation > known.entry.incarnation ||
				(entry.incarnation === known.entry.incarnation &&
					entry.counter > known.entry.counter)
			);
		}

		return observedAt > known.observedAt + freshnessMarginMs;
	};

	const isInScope = (entry: DigestEntry, availabilityZone: string) =>
		entry.scope === 'everywhere' || entry.availabilityZone === availabilityZone;

	const withCurrentAge = (row: Row, now: number): DigestEntry => ({
		...row.entry,
		ageMs: Math.max(0, Math.round(now - row.observedAt)),
	});

	const evictExpired = (now: number) => {
		for (const [key, row] of rows) {
			if (isExpired(row, now)) {
				rows.delete(key);
			}
		}
	};

	return {
		put(value, scope, now) {
			const key = digestKey(value);
			// Storing a known leaving entry again would reset its transmission count with each report.
			if (value.kind === 'leaving' && rows.has(key)) {
				return;
			}

			counter += 1;
			const {node: reporter, availabilityZone} = options;
			const incarnation = options.incarnation();
			store(
				{
					reporter,
					incarnation,
					counter,
					ageMs: 0,
					scope,
					availabilityZone,
					value,
				},
				now,
			);
		},
		apply(entries, now) {
			const newValues: DatedValue[] = [];
			for (const entry of entries) {
				const observedAt = now - entry.ageMs;
				const isOwn = entry.reporter === options.node;
				if (!(
					!isOwn &&
					isInScope(entry, options.availabilityZone) &&
					isNewer(entry, observedAt)
				)) {
					continue;
				}

				store(entry, observedAt);
				newValues.push({
					value: entry.value,
					observedAt,
					reporter: entry.reporter,
				});
			}

			return newValues;
		},
		select(availabilityZone, budgetBytes, fanOut, now) {
			evictExpired(now);
			const maximumTransmissions = 3 * Math.ceil(Math.log2(fanOut + 2));
			const sendable = [...rows]
				.filter(
					([, row]) =>
						row.transmissions < maximumTransmissions &&
						isInScope(row.entry, availabilityZone),
				)
				.toSorted(
					([, left], [, right]) => left.transmissions - right.transmissions,
				);
			const selected: DigestEntry[] = [];
			let remainingBytes = budgetBytes;
			for (const [key, row] of sendable) {
				if (!(row.bytes <= remainingBytes)) {
					continue;
				}

				remainingBytes -= row.bytes;
				rows.set(key, {...row, transmissions: row.transmissions + 1});
				selected.push(withCurrentAge(row, now));
			}

			return selected;
		},
		allEntries(availabilityZone, now) {
			evictExpired(now);
			return rows
				.values()

				.filter(({entry}) => isInScope(entry, availabilityZone))
				.map((row) => withCurrentAge(row, now))
				.toArray();
		},
		values(kind, now) {
			const current = rows
				.values()

				.filter((row) => row.entry.value.kind === kind && !isExpired(row, now))
				.map(({entry, observedAt}) => ({
					value: entry.value,
					observedAt,
					reporter: entry.reporter,
				}))
				.toArray();
			return current as never;
		},
		size: () => rows.size,
	};
};
