import {
	digestKey,
	type DigestEntry,
	type DigestScope,
	type DigestValue,
} from './digest-entry.ts';

/**
An entry with the local time at which its content was observed.
*/
export type DatedValue = {
	readonly value: DigestValue;
	readonly observedAt: number;
	readonly reporter: string;
};

/**
What a table is built from.
*/
export type DigestTableOptions = {
	readonly node: string;
	readonly availabilityZone: string;
	/**
	Start of this process as membership states it; it can rise once when others know a later one.
	*/
	readonly incarnation: () => number;
	/**
	Size of an entry on the wire, in bytes.
	*/
	readonly sizeOf: (entry: DigestEntry) => number;
	/**
	Milliseconds after which an entry is dropped.
	*/
	readonly retention?: Partial<Record<DigestValue['kind'], number>>;
};

/**
Soft state that nodes pass on with their heartbeats.
*/
export type DigestTable = {
	/**
	States something; it is passed on until every reachable node is likely to have it.
	*/
	put(value: DigestValue, scope: DigestScope, now: number): void;
	/**
	Takes in entries of a peer and returns what was news.
	*/
	apply(entries: readonly DigestEntry[], now: number): readonly DatedValue[];
	/**
	Picks entries for a message to a zone, within a size budget in bytes.
	*/
	select(
		availabilityZone: string,
		budget: number,
		fanOut: number,
		now: number,
	): readonly DigestEntry[];
	/**
	Everything that may go to a zone; for a node that has just joined or woken.
	*/
	allEntries(availabilityZone: string, now: number): readonly DigestEntry[];
	/**
	Current values of one kind.
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

const defaultRetention: Readonly<Record<DigestValue['kind'], number>> = {
	loads: 30_000,
	'in-flight': 10_000,
	leaving: 3_600_000,
	'zone-summary': 60_000,
	demand: 10_000,
};

// Reports of the same load by two nodes count as equally fresh within this many milliseconds.
const freshnessMargin = 50;

/**
Builds an empty table.
*/
export const createDigestTable = (options: DigestTableOptions): DigestTable => {
	const rows = new Map<string, Row>();
	const retention = {...defaultRetention, ...options.retention};
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

	const isNews = (entry: DigestEntry, observedAt: number): boolean => {
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

		return observedAt > known.observedAt + freshnessMargin;
	};

	const isMeantFor = (entry: DigestEntry, availabilityZone: string) =>
		entry.scope === 'everywhere' || entry.availabilityZone === availabilityZone;

	const outgoing = (row: Row, now: number): DigestEntry => ({
		...row.entry,
		ageMs: Math.max(0, Math.round(now - row.observedAt)),
	});

	const dropExpired = (now: number) => {
		for (const [key, row] of rows) {
			if (isExpired(row, now)) {
				rows.delete(key);
			}
		}
	};

	return {
		put(value, scope, now) {
			const key = digestKey(value);
			// A leaving word that is already known must not start its rounds anew with each report.
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
			const news: DatedValue[] = [];
			for (const entry of entries) {
				const observedAt = now - entry.ageMs;
				const isOwn = entry.reporter === options.node;
				if (!(
					!isOwn &&
					isMeantFor(entry, options.availabilityZone) &&
					isNews(entry, observedAt)
				)) {
					continue;
				}

				store(entry, observedAt);
				news.push({value: entry.value, observedAt, reporter: entry.reporter});
			}

			return news;
		},
		select(availabilityZone, budget, fanOut, now) {
			dropExpired(now);
			const maximumTransmissions = 3 * Math.ceil(Math.log2(fanOut + 2));
			const ready = [...rows]
				.filter(
					([, row]) =>
						row.transmissions < maximumTransmissions &&
						isMeantFor(row.entry, availabilityZone),
				)
				.toSorted(
					([, left], [, right]) => left.transmissions - right.transmissions,
				);
			const chosen: DigestEntry[] = [];
			let left = budget;
			for (const [key, row] of ready) {
				if (!(row.bytes <= left)) {
					continue;
				}

				left -= row.bytes;
				rows.set(key, {...row, transmissions: row.transmissions + 1});
				chosen.push(outgoing(row, now));
			}

			return chosen;
		},
		allEntries(availabilityZone, now) {
			dropExpired(now);
			return rows
				.values()

				.filter(({entry}) => isMeantFor(entry, availabilityZone))
				.map((row) => outgoing(row, now))
				.toArray();
		},
		values(kind, now) {
			const found = rows
				.values()

				.filter((row) => row.entry.value.kind === kind && !isExpired(row, now))
				.map(({entry, observedAt}) => ({
					value: entry.value,
					observedAt,
					reporter: entry.reporter,
				}))
				.toArray();
			return found as never;
		},
		size: () => rows.size,
	};
};
