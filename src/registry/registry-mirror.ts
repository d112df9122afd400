import type {RouteTable} from '../routes/index.ts';
import type {MirrorChange, RegistryRestored} from './mirror-change.ts';
import {createMirrorState, isSuperseded} from './mirror-state.ts';
import {applyMonotonic, applyProvisional} from './stale-items.ts';
import {outgoingItem, outgoingItems} from './outgoing-items.ts';
import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySnapshot,
	RegistryUpdate,
} from './registry-entry.ts';
import {createRegistryHistory} from './registry-history.ts';
import {
	startPosition,
	type RegistryCursor,
	type RegistryPosition,
} from './registry-position.ts';
import type {KnownServer} from './registry-servers.ts';
import type {RegistryStamp} from './registry-stamp.ts';
import {applyRestoredCopy} from './restored-copy.ts';

/**
The source of an answer.
*/
export type AnswerOrigin = 'registry' | 'peer';

/**
A node's copy of the registry.
*/
export type RegistryMirror = {
	/**
	Applies an answer. Of an answer that is older than the known state, by its era or its revision, only state that never goes
	backward counts: later versions of the routes, and shutdowns.
	*/
	apply(
		answer: RegistryUpdate,
		now: number,
		origin: AnswerOrigin,
	): readonly MirrorChange[];
	/**
	Ends grace periods, hold-backs and retained evacuations whose time is over; called at each tick.
	*/
	expire(now: number): readonly MirrorChange[];
	/**
	Records that a server announced its shutdown in an answer. Its entry may say otherwise while the registry is unavailable,
	so no entry of the same incarnation cancels the shutdown.

	@param incarnationId Identifies the incarnation of the server.
	*/
	recordShutdown(id: string, incarnationId: string): readonly MirrorChange[];
	/**
	Records that the source failed, so that entries missing afterwards may have lapsed in the meantime.
	*/
	sourceFailed(now: number): void;
	revision(): number;
	position(): RegistryPosition;
	/**
	Whether a snapshot that was requested at a position shows that the registry has been restored from an older copy since:
	a key has an earlier revision than before, the routes have another version at the same revision, or a removed key is back
	with a revision that is not later than the position.
	*/
	isContradictedBy(
		snapshot: RegistrySnapshot,
		asked: RegistryPosition,
	): boolean;
	/**
	The stamp that is sent to other nodes with every heartbeat.
	*/
	stamp(): RegistryStamp & RegistryPosition;
	/**
	Whether routes may exist that the registry has lost and that were not written again yet.
	*/
	mayLackRoutes(now: number): boolean;
	routes(): RouteTable | undefined;
	/**
	Version of the routes in force; 0 if there are none.
	*/
	routesVersion(): number;
	servers(): ReadonlyMap<string, KnownServer>;
	isEvacuated(availabilityZone: string): boolean;
	/**
	Number of entries that could not be decoded.
	*/
	unreadable(): number;
	evacuatedZones(): readonly string[];
	/**
	The answer for another node: the changes after a position, or a snapshot if they are no longer in the history.
	*/
	answerFor(after: RegistryCursor, now: number): RegistryAnswer;
	snapshot(now: number): RegistrySnapshot;
};

/**
How long after a failure of the registry a missing entry may be a lapsed one, in milliseconds.
*/
export const lapseWindowMs = 3000;

/**
Creates an empty mirror.
*/
export const createRegistryMirror = (): RegistryMirror => {
	const state = createMirrorState();
	const {rows, routes, servers, evacuations} = state;
	const removedAt = new Map<string, number>();
	const history = createRegistryHistory();
	let {era, revision} = startPosition;
	let failedAt = -Infinity;

	const hasFailedRecently = (now: number) => now - failedAt <= lapseWindowMs;

	const applyItem = (
		read: RegistryItem,
		now: number,
		origin: AnswerOrigin,
	): readonly MirrorChange[] => {
		if (read.provisionalMs !== undefined) {
			return applyProvisional(state, read, read.provisionalMs, now);
		}

		const item =
			origin === 'registry' && read.value === undefined
				? {...read, canBeLapse: hasFailedRecently(now)}
				: read;
		const current = rows.get(item.key);
		const floor = Math.max(
			current?.revision ?? 0,
			removedAt.get(item.key) ?? 0,
		);
		if (item.revision <= floor || isSuperseded(item, current)) {
			return applyMonotonic(state, item, false);
		}

		history.add(item);
		if (item.value === undefined) {
			rows.delete(item.key);
			removedAt.set(item.key, item.revision);
			return current
				? removed(current, item.canBeLapse ?? false, now)
				: evacuations.removeRetained(item.key);
		}

		rows.set(item.key, item);
		return changed(item, current, now);
	};

	const changed = (
		{key, value}: RegistryItem,
		current: RegistryItem | undefined,
		now: number,
	): readonly MirrorChange[] => {
		switch (value?.kind) {
			case 'server': {
				return servers.register(value.server, now);
			}

			case 'routes': {
				routes.markRewritten();
				return routes.register(key, value.document);
			}

			case 'evacuation': {
				return evacuations.register(value.availabilityZone);
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
				return evacuations.remove(value.availabilityZone);
			}

			case 'routes':
			case 'unreadable':
			case undefined: {
				return [];
			}
		}
	};

	// A key that a snapshot does not contain was removed at or before the snapshot's revision.
	const removeMissing = (
		snapshot: RegistrySnapshot,
		now: number,
	): readonly MirrorChange[] => {
		const named = new Set(
			snapshot.items
				.filter((item) => !isRetainedOnly(item))
				.map(({key}) => key),
		);
		return rows
			.values()
			.filter((row) => !named.has(row.key) && row.revision <= snapshot.revision)
			.flatMap(({key}) =>
				applyItem(
					{
						key,
						revision: snapshot.revision,
						value: undefined,
						canBeLapse: hasFailedRecently(now),
					},
					now,
					'peer',
				),
			)
			.toArray();
	};

	const beginEra = (
		copy: RegistrySnapshot,
		nextEra: number,
		now: number,
	): readonly MirrorChange[] => {
		const from = {era, revision};
		({revision} = copy);
		era = nextEra;
		history.restart(revision);
		removedAt.clear();
		if (from.revision === 0) {
			return applyRestoredCopy(state, copy, now).changes;
		}

		routes.markRestored(now);
		const {changes, lacking} = applyRestoredCopy(state, copy, now);
		const restored: RegistryRestored = {
			kind: 'restored',
			from,
			to: {era, revision},
			routesVersion: routes.version(),
			copiedRoutesVersion: routes.registeredVersion(),
			lacking,
			heldBack: servers.heldBack(),
			evacuationsKept: evacuations.retained(now).length,
		};
		return [restored, ...changes];
	};

	const applySnapshot = (
		answer: RegistrySnapshot,
		now: number,
		origin: AnswerOrigin,
	): readonly MirrorChange[] => {
		// The changes between the last known revision and a snapshot enter the history, each key once and in its latest
		// form. The history has a gap only before the first snapshot.
		if (revision === 0) {
			history.restart(answer.revision);
		}

		return [
			...answer.items.flatMap((item) => applyItem(item, now, origin)),
			...removeMissing(answer, now),
		];
	};

	const snapshot = (now: number): RegistrySnapshot => ({
		era,
		revision,
		items: outgoingItems(state, now),
	});

	return {
		apply(answer, now, origin) {
			const answerEra = answer.era ?? startPosition.era;
			const isWhole = answer.kind === 'snapshot';
			if (isWhole && answerEra > era) {
				return beginEra(answer, answerEra, now);
			}

			if (answerEra !== era) {
				return answer.items.flatMap((item) =>
					applyMonotonic(state, item, answerEra < era),
				);
			}

			if (isWhole && answer.revision < revision) {
				return answer.items.flatMap((item) =>
					item.provisionalMs === undefined
						? applyMonotonic(state, item, false)
						: applyProvisional(state, item, item.provisionalMs, now),
				);
			}

			const changes = isWhole
				? applySnapshot(answer, now, origin)
				: answer.items.flatMap((item) => applyItem(item, now, origin));
			revision = Math.max(revision, answer.revision);
			return changes;
		},
		expire: (now) => [...servers.expire(now), ...evacuations.expire(now)],
		recordShutdown: servers.recordShutdown,
		sourceFailed(now) {
			failedAt = now;
		},
		revision: () => revision,
		position: () => ({era, revision}),
		isContradictedBy: ({items}, asked) =>
			asked.era === era &&
			items.some((item) => isEarlierThan(item, rows.get(item.key), asked)),
		stamp: () => ({
			era,
			revision,
			routesVersion: routes.version(),
			isAheadOfRegistry:
				servers.isAheadOfRegistry() ||
				evacuations.hasRetained() ||
				routes.isAheadOfRegistry(),
		}),
		mayLackRoutes: routes.mayLack,
		routes: routes.table,
		routesVersion: routes.version,
		servers: servers.known,
		unreadable: () =>
			rows
				.values()
				.reduce(
					(count, {value}) => count + (value?.kind === 'unreadable' ? 1 : 0),
					0,
				),
		isEvacuated: evacuations.isActive,
		evacuatedZones: evacuations.zones,
		answerFor(after, now) {
			const items =
				after.era === undefined || after.era === era
					? history.after(after.revision)
					: undefined;
			return items
				? {
						kind: 'changes',
						era,
						revision,
						items: items.map((item) => outgoingItem(state, item, now)),
					}
				: {kind: 'snapshot', ...snapshot(now)};
		},
		snapshot,
	};
};

// An evacuation that another node retains although the registry does not hold it.
const isRetainedOnly = ({value, provisionalMs}: RegistryItem): boolean =>
	value?.kind === 'evacuation' && provisionalMs !== undefined;

// Compares an item with the row that was known when the request was sent. The item is earlier if the row had a later revision, if the
// routes at the same revision differ, or if there was no row at that position.
const isEarlierThan = (
	item: RegistryItem,
	row: RegistryItem | undefined,
	asked: RegistryPosition,
): boolean => {
	if (!row) {
		return item.revision <= asked.revision;
	}

	if (row.revision > asked.revision) {
		return false;
	}

	return item.revision === row.revision
		? item.value?.kind === 'routes' &&
				row.value?.kind === 'routes' &&
				item.value.document.version !== row.value.document.version
		: item.revision < row.revision;
};
