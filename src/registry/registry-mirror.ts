import {createRouteTable, type RouteTable} from '../routes/index.ts';
import {createBoundedSet} from '../shared/index.ts';
import {lifeOf} from './server-life.ts';
import type {
	RegisteredServer,
	RegistryAnswer,
	RegistryItem,
	RegistrySnapshot,
} from './registry-entry.ts';

/**
A backend server as this node knows it.
*/
export type KnownServer = {
	readonly server: RegisteredServer;
	/**
	When it was first seen cold, plus how long it stays so, on this node's clock.
	*/
	readonly coldUntil: number;
};

/**
What changed by taking in an answer.
*/
export type MirrorChange =
	| {readonly kind: 'routes'; readonly version: number}
	| {
			readonly kind: 'server';
			readonly id: string;
			readonly isUsable: boolean;
	  }
	| {
			readonly kind: 'evacuation';
			readonly availabilityZone: string;
			readonly isActive: boolean;
	  };

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
How long a backend server stays in use when its entry went missing while the registry was away, in
milliseconds. Its entry is back about two seconds after the registry is, if it lives.
*/
export const lapseGraceMs = 2200;

/**
For how long after a failure of the registry a missing entry may be a lapsed one, in milliseconds.
*/
export const lapseWindowMs = 3000;

/**
Changes kept for other nodes that are a little behind.
*/
export const keptChanges = 400;

/**
Lives of servers whose announced shutdown is remembered; the earliest is forgotten first. A life does not return from its
shutdown, so nothing else ends the memory.
*/
export const maximumLeavingLives = 2000;

/**
Builds an empty copy.
*/
export const createRegistryMirror = (): RegistryMirror => {
	const announced = createBoundedSet<string>(maximumLeavingLives);
	const rows = new Map<string, RegistryItem>();
	const removedAt = new Map<string, number>();
	const known = new Map<string, KnownServer>();
	const lapsed = new Map<string, number>();
	const evacuated = new Set<string>();
	const history: RegistryItem[] = [];
	let historyFrom = 0;
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

		history.push(item);
		if (history.length > keptChanges) {
			historyFrom = Math.max(historyFrom, history.shift()!.revision);
		}

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
				return takeServer(value.server, now);
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

	const takeServer = (
		entry: RegisteredServer,
		now: number,
	): readonly MirrorChange[] => {
		const server = announced.has(lifeOf(entry))
			? {...entry, isLeaving: true}
			: entry;
		const before = known.get(server.id);
		const isSameLife = before?.server.startedAt === server.startedAt;
		const coldBefore = isSameLife ? (before?.coldUntil ?? 0) : 0;
		lapsed.delete(server.id);
		known.set(server.id, {
			server,
			coldUntil: Math.max(coldBefore, now + server.coldMs),
		});
		return [{kind: 'server', id: server.id, isUsable: !server.isLeaving}];
	};

	const removed = (
		{value}: RegistryItem,
		canBeLapse: boolean,
		now: number,
	): readonly MirrorChange[] => {
		switch (value?.kind) {
			case 'server': {
				return removeServer(value.server, canBeLapse, now);
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

	const removeServer = (
		{id}: RegisteredServer,
		canBeLapse: boolean,
		now: number,
	): readonly MirrorChange[] => {
		if (canBeLapse && !known.get(id)?.server.isLeaving) {
			lapsed.set(id, now + lapseGraceMs);
			return [];
		}

		known.delete(id);
		return [{kind: 'server', id, isUsable: false}];
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

	const isAhead = (row: RegistryItem, after: number) => row.revision > after;

	// The remaining cold time shrinks while the entry is kept. A node that has just started hears of announced shutdowns.
	const outgoing = (item: RegistryItem, now: number): RegistryItem => {
		if (item.value?.kind !== 'server') {
			return item;
		}

		const {server} = item.value;
		const coldUntil = known.get(server.id)?.coldUntil ?? 0;
		return {
			...item,
			value: {
				kind: 'server',
				server: {
					...server,
					isLeaving: server.isLeaving || announced.has(lifeOf(server)),
					coldMs: Math.max(0, coldUntil - now),
				},
			},
		};
	};

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

			const changes = answer.items.flatMap((item) =>
				takeItem(item, now, origin),
			);
			if (answer.kind === 'snapshot') {
				changes.push(...removeMissing(answer, now));
				// What changed between the last known revision and the snapshot is in the history, each key
				// once and in its latest form; only before the first snapshot nothing is known.
				historyFrom = revision === 0 ? answer.revision : historyFrom;
			}

			revision = Math.max(revision, answer.revision);
			return changes;
		},
		expire(now) {
			return [...lapsed]
				.filter(([, until]) => until <= now)
				.map(([id]) => {
					lapsed.delete(id);
					known.delete(id);
					return {kind: 'server', id, isUsable: false} as const;
				});
		},
		leavingAnnounced(id, life) {
			announced.add(life);
			const current = known.get(id);
			if (
				!current ||
				current.server.isLeaving ||
				lifeOf(current.server) !== life
			) {
				return [];
			}

			lapsed.delete(id);
			known.set(id, {
				...current,
				server: {...current.server, isLeaving: true},
			});
			return [{kind: 'server', id, isUsable: false}];
		},
		sourceFailed(now) {
			failedAt = now;
		},
		revision: () => revision,
		routes: () => table,
		servers: () => known,
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
			return after >= historyFrom && after > 0
				? {
						kind: 'changes',
						revision,
						items: history
							.filter((item) => isAhead(item, after))
							.map((item) => outgoing(item, now)),
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
