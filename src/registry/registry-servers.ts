import {createBoundedMap, createBoundedSet} from '../shared/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {RegisteredServer} from './registry-entry.ts';
import {incarnationIdOf} from './server-incarnation.ts';

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
The backend servers that the registry names, and what outlasts their entries.
*/
export type RegistryServers = {
	register(entry: RegisteredServer, now: number): readonly MirrorChange[];
	/**
	@param canBeLapse Whether the entry may only have lapsed while the registry was away.
	*/
	remove(id: string, canBeLapse: boolean, now: number): readonly MirrorChange[];
	/**
	Takes an entry of the older copy that the registry came back from.

	@param toldMs How much longer another node holds it back, in milliseconds.
	*/
	registerFromCopy(
		entry: RegisteredServer,
		toldMs: number,
		now: number,
	): readonly MirrorChange[];
	/**
	Does not use a server whose entry an older copy brought back, until it is written again or has lasted.
	*/
	holdBack(
		entry: RegisteredServer,
		remainingMs: number,
		now: number,
	): readonly MirrorChange[];
	/**
	How much longer a server is held back, in milliseconds; undefined where it is not.
	*/
	heldBackMs(id: string, now: number): number | undefined;
	/**
	How many servers are held back.
	*/
	heldBack(): number;
	/**
	Whether anything is known that the registry's copy says otherwise.
	*/
	isAheadOfRegistry(): boolean;
	/**
	Ends what is limited in time.
	*/
	expire(now: number): readonly MirrorChange[];
	/**
	A server announced its shutdown in an answer.
	*/
	recordShutdown(id: string, life: string): readonly MirrorChange[];
	/**
	Another node knows that the life of this entry leaves.
	*/
	recordPeerShutdown(entry: RegisteredServer): readonly MirrorChange[];
	known(): ReadonlyMap<string, KnownServer>;
	/**
	An entry as it is passed on to other nodes.
	*/
	outgoing(entry: RegisteredServer, now: number): RegisteredServer;
};

/**
How long a backend server stays in use when its entry went missing while the registry was away, in
milliseconds. Its entry is back about two seconds after the registry is, if it lives.
*/
export const lapseGraceMs = 2200;

/**
How long an entry is not used that was removed and that an older copy brought back, in milliseconds. The entry of a server that
does not live ends sooner.
*/
export const heldBackMs = 5000;

/**
Lives of servers whose announced shutdown is remembered; the earliest is forgotten first. A life does not return from its
shutdown, so nothing else ends the memory.
*/
export const maximumLeavingIncarnations = 2000;

const maximumRemovedIncarnations = 2000;

type HeldBack = {readonly entry: RegisteredServer; readonly until: number};

/**
Builds a view of no servers.
*/
export const createRegistryServers = (): RegistryServers => {
	const announced = createBoundedSet<string>(maximumLeavingIncarnations);
	const gone = createBoundedMap<string, RegisteredServer>(
		maximumRemovedIncarnations,
	);
	const known = new Map<string, KnownServer>();
	const lapsed = new Map<string, number>();
	const held = new Map<string, HeldBack>();
	// Servers that leave though the copy says that they are ready.
	const leavingBeyondCopy = new Set<string>();

	const put = (
		entry: RegisteredServer,
		now: number,
	): readonly MirrorChange[] => {
		const server = announced.has(incarnationIdOf(entry))
			? {...entry, isLeaving: true}
			: entry;
		const before = known.get(server.id);
		const isSameLife = before?.server.startedAt === server.startedAt;
		const coldBefore = isSameLife ? (before?.coldUntil ?? 0) : 0;
		lapsed.delete(server.id);
		held.delete(server.id);
		known.set(server.id, {
			server,
			coldUntil: Math.max(coldBefore, now + server.coldMs),
		});
		return [{kind: 'server', id: server.id, isUsable: !server.isLeaving}];
	};

	const drop = (id: string): readonly MirrorChange[] => {
		const current = known.get(id)?.server;
		if (current) {
			gone.set(incarnationIdOf(current), current);
		}

		lapsed.delete(id);
		held.delete(id);
		leavingBeyondCopy.delete(id);
		known.delete(id);
		return [{kind: 'server', id, isUsable: false}];
	};

	const remove = (
		id: string,
		canBeLapse: boolean,
		now: number,
	): readonly MirrorChange[] => {
		const current = known.get(id)?.server;
		if (!canBeLapse || !current || current.isLeaving) {
			return drop(id);
		}

		lapsed.set(id, now + lapseGraceMs);
		return [];
	};

	const ofLife = (id: string, life: string): KnownServer | undefined => {
		const current = known.get(id);
		return current && incarnationIdOf(current.server) === life
			? current
			: undefined;
	};

	const leave = (id: string, life: string): readonly MirrorChange[] => {
		const current = ofLife(id, life);
		if (!current || current.server.isLeaving) {
			return [];
		}

		lapsed.delete(id);
		known.set(id, {
			...current,
			server: {...current.server, isLeaving: true},
		});
		return [{kind: 'server', id, isUsable: false}];
	};

	const isKnownLeaving = (entry: RegisteredServer): boolean =>
		ofLife(entry.id, incarnationIdOf(entry))?.server.isLeaving ?? false;

	const holdBack = (
		entry: RegisteredServer,
		remainingMs: number,
		now: number,
	): readonly MirrorChange[] => {
		if (isKnownLeaving(entry)) {
			return [];
		}

		const {id} = entry;
		const until = Math.max(held.get(id)?.until ?? 0, now + remainingMs);
		held.set(id, {entry, until});
		lapsed.delete(id);
		gone.set(incarnationIdOf(entry), entry);
		return known.delete(id) ? [{kind: 'server', id, isUsable: false}] : [];
	};

	const replace = (
		entry: RegisteredServer,
		now: number,
	): readonly MirrorChange[] => {
		const wasLeaving = known.get(entry.id)?.server.isLeaving;
		const changes = put(entry, now);
		return wasLeaving === entry.isLeaving ? [] : changes;
	};

	const keepLeaving = (
		entry: RegisteredServer,
		now: number,
	): readonly MirrorChange[] => {
		leavingBeyondCopy.add(entry.id);
		if (entry.startedAt !== undefined) {
			announced.add(incarnationIdOf(entry));
		}

		return replace({...entry, isLeaving: true}, now);
	};

	return {
		register(entry, now) {
			leavingBeyondCopy.delete(entry.id);
			return put(entry, now);
		},
		remove,
		registerFromCopy(entry, toldMs, now) {
			if (entry.isLeaving) {
				return replace(entry, now);
			}

			const life = incarnationIdOf(entry);
			const current = ofLife(entry.id, life)?.server;
			const last = current ?? gone.get(life);
			if (last?.isLeaving) {
				return keepLeaving(entry, now);
			}

			const isBroughtBack =
				!current && last !== undefined && !isWrittenSince(entry, last);
			const holdMs = Math.max(toldMs, isBroughtBack ? heldBackMs : 0);
			return holdMs > 0 ? holdBack(entry, holdMs, now) : replace(entry, now);
		},
		holdBack,
		heldBackMs(id, now) {
			const server = held.get(id);
			return server && Math.max(0, server.until - now);
		},
		heldBack: () => held.size,
		isAheadOfRegistry: () => held.size > 0 || leavingBeyondCopy.size > 0,
		expire: (now) => [
			...[...lapsed]
				.filter(([, until]) => until <= now)
				.flatMap(([id]) => drop(id)),
			...held
				.values()
				.filter(({until}) => until <= now)
				.flatMap(({entry}) => put(entry, now)),
		],
		recordShutdown(id, life) {
			announced.add(life);
			return leave(id, life);
		},
		recordPeerShutdown(entry) {
			const changes = leave(entry.id, incarnationIdOf(entry));
			if (changes.length > 0) {
				leavingBeyondCopy.add(entry.id);
			}

			return changes;
		},
		known: () => known,
		// The remaining cold time shrinks while the entry is kept. A node that has just started hears of announced shutdowns.
		outgoing: (entry, now) => ({
			...entry,
			isLeaving:
				entry.isLeaving ||
				announced.has(incarnationIdOf(entry)) ||
				isKnownLeaving(entry),
			coldMs: Math.max(0, (known.get(entry.id)?.coldUntil ?? 0) - now),
		}),
	};
};

// Without numbers nothing shows that an entry is later than its removal.
const isWrittenSince = (
	entry: RegisteredServer,
	last: RegisteredServer,
): boolean => (entry.sequence ?? 0) > (last.sequence ?? Infinity);
