import {createBoundedMap, createBoundedSet} from '../shared/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {RegisteredServer} from './registry-entry.ts';
import {incarnationIdOf} from './server-incarnation.ts';

/**
A backend server known to this node.
*/
export type KnownServer = {
	readonly server: RegisteredServer;
	/**
	When the server stops being cold, on this node's clock: the time of its first cold entry plus its remaining cold time.
	*/
	readonly coldUntil: number;
};

/**
The backend servers in the registry, and state that outlasts their entries.
*/
export type RegistryServers = {
	register(entry: RegisteredServer, now: number): readonly MirrorChange[];
	/**
	@param canBeLapse Whether the entry may only have lapsed while the registry was unavailable.
	*/
	remove(id: string, canBeLapse: boolean, now: number): readonly MirrorChange[];
	/**
	Applies an entry of the older copy from which the registry was restored.

	@param peerHoldMs How much longer another node holds the server back, in milliseconds.
	*/
	registerFromCopy(
		entry: RegisteredServer,
		peerHoldMs: number,
		now: number,
	): readonly MirrorChange[];
	/**
	Holds back a server whose entry an older copy brought back: it is not used until its entry is written again or the
	time is over.
	*/
	holdBack(
		entry: RegisteredServer,
		remainingMs: number,
		now: number,
	): readonly MirrorChange[];
	/**
	How much longer a server is held back, in milliseconds; undefined if it is not held back.
	*/
	heldBackMs(id: string, now: number): number | undefined;
	/**
	Number of servers that are held back.
	*/
	heldBack(): number;
	/**
	Whether this node knows anything about a server that contradicts the registry's copy.
	*/
	isAheadOfRegistry(): boolean;
	/**
	Ends the grace periods and hold-backs whose time is over.
	*/
	expire(now: number): readonly MirrorChange[];
	/**
	Records that a server announced its shutdown in an answer.
	*/
	recordShutdown(id: string, incarnationId: string): readonly MirrorChange[];
	/**
	Records that another node knows of the shutdown of this entry's incarnation.
	*/
	recordPeerShutdown(entry: RegisteredServer): readonly MirrorChange[];
	known(): ReadonlyMap<string, KnownServer>;
	/**
	An entry as it is sent to other nodes.
	*/
	outgoing(entry: RegisteredServer, now: number): RegisteredServer;
};

/**
Grace period for which a backend server stays in use after its entry went missing while the registry was unavailable,
in milliseconds. The entry of a live server is back about two seconds after the registry is.
*/
export const lapseGraceMs = 2200;

/**
How long a removed entry that an older copy brought back is held back, in milliseconds. The entry of a dead server lapses
sooner.
*/
export const heldBackMs = 5000;

/**
Maximum number of server incarnations whose announced shutdown is remembered; the oldest is evicted first. An incarnation
does not return from its shutdown, so nothing else removes it.
*/
export const maximumLeavingIncarnations = 2000;

const maximumRemovedIncarnations = 2000;

type HeldBack = {readonly entry: RegisteredServer; readonly until: number};

/**
Creates a view without servers.
*/
export const createRegistryServers = (): RegistryServers => {
	const announced = createBoundedSet<string>(maximumLeavingIncarnations);
	const removed = createBoundedMap<string, RegisteredServer>(
		maximumRemovedIncarnations,
	);
	const known = new Map<string, KnownServer>();
	const lapsed = new Map<string, number>();
	const held = new Map<string, HeldBack>();
	// Servers that shut down although the registry's copy says that they are ready.
	const leavingAheadOfCopy = new Set<string>();

	const put = (
		entry: RegisteredServer,
		now: number,
	): readonly MirrorChange[] => {
		const server = announced.has(incarnationIdOf(entry))
			? {...entry, isLeaving: true}
			: entry;
		const before = known.get(server.id);
		const isSameIncarnation =
			before !== undefined &&
			incarnationIdOf(before.server) === incarnationIdOf(server);
		const coldBefore = isSameIncarnation ? (before?.coldUntil ?? 0) : 0;
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
			removed.set(incarnationIdOf(current), current);
		}

		lapsed.delete(id);
		held.delete(id);
		leavingAheadOfCopy.delete(id);
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

	const currentIncarnation = (
		id: string,
		incarnationId: string,
	): KnownServer | undefined => {
		const current = known.get(id);
		return current && incarnationIdOf(current.server) === incarnationId
			? current
			: undefined;
	};

	const leave = (
		id: string,
		incarnationId: string,
	): readonly MirrorChange[] => {
		const current = currentIncarnation(id, incarnationId);
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
		currentIncarnation(entry.id, incarnationIdOf(entry))?.server.isLeaving ??
		false;

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
		removed.set(incarnationIdOf(entry), entry);
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
		leavingAheadOfCopy.add(entry.id);
		if (entry.startedAt !== undefined) {
			announced.add(incarnationIdOf(entry));
		}

		return replace({...entry, isLeaving: true}, now);
	};

	return {
		register(entry, now) {
			leavingAheadOfCopy.delete(entry.id);
			return put(entry, now);
		},
		remove,
		registerFromCopy(entry, peerHoldMs, now) {
			if (entry.isLeaving) {
				return replace(entry, now);
			}

			const incarnationId = incarnationIdOf(entry);
			const current = currentIncarnation(entry.id, incarnationId)?.server;
			const last = current ?? removed.get(incarnationId);
			if (last?.isLeaving) {
				return keepLeaving(entry, now);
			}

			const isBroughtBack =
				!current && last !== undefined && !isWrittenSince(entry, last);
			const holdMs = Math.max(peerHoldMs, isBroughtBack ? heldBackMs : 0);
			return holdMs > 0 ? holdBack(entry, holdMs, now) : replace(entry, now);
		},
		holdBack,
		heldBackMs(id, now) {
			const server = held.get(id);
			return server && Math.max(0, server.until - now);
		},
		heldBack: () => held.size,
		isAheadOfRegistry: () => held.size > 0 || leavingAheadOfCopy.size > 0,
		expire: (now) => [
			...[...lapsed]
				.filter(([, until]) => until <= now)
				.flatMap(([id]) => drop(id)),
			...held
				.values()
				.filter(({until}) => until <= now)
				.flatMap(({entry}) => put(entry, now)),
		],
		recordShutdown(id, incarnationId) {
			announced.add(incarnationId);
			return leave(id, incarnationId);
		},
		recordPeerShutdown(entry) {
			const changes = leave(entry.id, incarnationIdOf(entry));
			if (changes.length > 0) {
				leavingAheadOfCopy.add(entry.id);
			}

			return changes;
		},
		known: () => known,
		// The remaining cold time is recomputed, because it shrinks while this node stores the entry. The shutdown flag lets
		// a node that has just started learn of announced shutdowns.
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

// Without sequence numbers, nothing shows that an entry was written after its removal.
const isWrittenSince = (
	entry: RegisteredServer,
	last: RegisteredServer,
): boolean => (entry.sequence ?? 0) > (last.sequence ?? Infinity);
