import {createRouteTable, type RouteTable} from '../routes/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySnapshot,
} from './registry-entry.ts';
import {createRegistryHistory} from './registry-history.ts';
import {createRegistryServers, type KnownServer} from './registry-servers.ts';

/**
Who gave an answer.
*/
export type AnswerOrigin = 'registry' | 'peer';

/**
A node's copy of the registry.
*/
export type RegistryMirror = {
	/**
	Takes in what a source answered; what is older than what is known changes nothing.
	*/
	apply(
		answer: Extract<RegistryAnswer, {kind: 'changes' | 'snapshot'}>,
		now: number,
		origin: AnswerOrigin,
	): readonly MirrorChange[];
	/**
	Ends the grace of lapsed entries; called at each tick.
	*/
	expire(now: number): readonly MirrorChange[];
	/**
	A server announced its shutdown in an answer. Its entry may say otherwise for as long as the registry is away, so no entry
	of the same life cancels that.

	@param life Names the life of the server.
	*/
	leavingAnnounced(id: string, life: string): readonly MirrorChange[];
	/**
	States that the source failed, so that entries missing afterwards may have lapsed meanwhile.
	*/
	sourceFailed(now: number): void;
	revision(): number;
	routes(): RouteTable | undefined;
	servers(): ReadonlyMap<string, KnownServer>;
	isEvacuated(availabilityZone: string): boolean;
	/**
	How many entries cannot be read.
	*/
	unreadable(): number;
	evacuatedZones(): readonly string[];
	/**
	For another node: the changes after a revision, or everything where they are not kept.
	*/
	answerFor(after: number, now: number): RegistryAnswer;
	snapshot(now: number): RegistrySnapshot;
};

/**
For how long after a failure of the registry a missing entry may be a lapsed one, in milliseconds.
*/
export const lapseWindowMs = 3000;

/**
Builds an empty copy.
*/
export const createRegistryMirror = (): RegistryMirror => {
	const rows = new Map<string, RegistryItem>();
	const removedAt = new Map<string, number>();
	const servers = createRegistryServers();
	const evacuated = new Set<string>();
	const history = createRegistryHistory();
	let revision = 0;
	let table: RouteTable | undefined;
	let failedAt = -Infinity;

	const hasFailedLately = (now: number) => now - failedAt <= lapseWindowMs;

	const takeItem = (
		read: RegistryItem,
		now: number,
		origin: AnswerOrigin,
	): readonly MirrorChange[] => {
		const item =
			origin === 'registry' && read.value === undefined
				? {...read, canBeLapse: hasFailedLately(now)}
				: read;
		const current = rows.get(item.key);
		const floor = Math.max(
			current?.revision ?? 0,
			removedAt.get(item.key) ?? 0,
		);
		if (item.revision <= floor || isSuperseded(item, current)) {
			return [];
		}

		history.add(item);

		if (item.value === undefined) {
			rows.delete(item.key);
			removedAt.set(item.key, item.revision);
			return current ? removed(current, item.canBeLapse ?? false, now) : [];
		}

		rows.set(item.key, item);
		return changed(item, current, now);
	};

	const changed = (
		{value}: RegistryItem,
		current: RegistryItem | undefined,
		now: number,
	): readonly MirrorChange[] => {
		switch (value?.kind) {
			case 'server': {
				return servers.take(value.server, now);
			}

			case 'routes': {
				// A version never goes back within one life of the process.
				if (table && value.document.version <= table.document.version) {
					return [];
				}

				table = createRouteTable(value.document);
				return [{kind: 'routes', version: value.document.version}];
			}

			case 'evacuation': {
				const {availabilityZone} = value;
				evacuated.add(availabilityZone);
				return [{kind: 'evacuation', availabilityZone, isActive: true}];
			}

			case 'unreadable': {
				return current ? removed(current, false, now) : [];
			}

			case undefined: {
				return [];
			}
		}
	};

	const removed = (
		{value}: RegistryItem,
		canBeLapse: boolean,
		now: number,
	): readonly MirrorChange[] => {
		switch (value?.kind) {
			case 'server': {
				return servers.remove(value.server.id, canBeLapse, now);
			}

			case 'evacuation': {
				const {availabilityZone} = value;
				evacuated.delete(availabilityZone);
				return [{kind: 'evacuation', availabilityZone, isActive: false}];
			}

			case 'routes':
			case 'unreadable':
			case undefined: {
				return [];
			}
		}
	};

	// What a snapshot does not name has been removed at the latest by its revision.
	const removeMissing = (
		snapshot: RegistrySnapshot,
		now: number,
	): readonly MirrorChange[] => {
		const named = new Set(snapshot.items.map(({key}) => key));
		return rows
			.values()
			.filter((row) => !named.has(row.key) && row.revision <= snapshot.revision)
			.flatMap(({key}) =>
				takeItem(
					{
						key,
						revision: snapshot.revision,
						value: undefined,
						canBeLapse: hasFailedLately(now),
					},
					now,
					'peer',
				),
			)
			.toArray();
	};

	const outgoing = (item: RegistryItem, now: number): RegistryItem =>
		item.value?.kind === 'server'
			? {
					...item,
					value: {
						kind: 'server',
						server: servers.outgoing(item.value.server, now),
					},
				}
			: item;

	const snapshot = (now: number): RegistrySnapshot => ({
		revision,
		items: rows
			.values()
			.map((item) => outgoing(item, now))
			.toArray(),
	});

	return {
		apply(answer, now, origin) {
			if (answer.kind === 'snapshot' && answer.revision < revision) {
				return [];
			}

			// What changed between the last known revision and a snapshot is in the history, each key
			// once and in its latest form; only before the first snapshot nothing is known.
			if (answer.kind === 'snapshot' && revision === 0) {
				history.restart(answer.revision);
			}

			const changes = answer.items.flatMap((item) =>
				takeItem(item, now, origin),
			);
			if (answer.kind === 'snapshot') {
				changes.push(...removeMissing(answer, now));
			}

			revision = Math.max(revision, answer.revision);
			return changes;
		},
		expire: servers.expire,
		leavingAnnounced: servers.leavingAnnounced,
		sourceFailed(now) {
			failedAt = now;
		},
		revision: () => revision,
		routes: () => table,
		servers: servers.known,
		unreadable: () =>
			rows
				.values()
				.reduce(
					(count, {value}) => count + (value?.kind === 'unreadable' ? 1 : 0),
					0,
				),
		isEvacuated: (availabilityZone) => evacuated.has(availabilityZone),
		evacuatedZones: () => [...evacuated],
		answerFor(after, now) {
			const items = history.after(after);
			return items
				? {
						kind: 'changes',
						revision,
						items: items.map((item) => outgoing(item, now)),
					}
				: {kind: 'snapshot', ...snapshot(now)};
		},
		snapshot,
	};
};

// Readable routes outlast unreadable ones, also for nodes that ask this one later; and the entry of a server's
// earlier life may arrive after that of its later one.
const isSuperseded = (
	{value}: RegistryItem,
	current: RegistryItem | undefined,
): boolean => {
	const kept = current?.value;
	switch (value?.kind) {
		case 'unreadable': {
			return kept?.kind === 'routes';
		}

		case 'server': {
			return (
				kept?.kind === 'server' &&
				(value.server.startedAt ?? 0) < (kept.server.startedAt ?? 0)
			);
		}

		case 'routes':
		case 'evacuation':
		case undefined: {
			return false;
		}
	}
};
