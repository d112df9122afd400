import {createBoundedSet} from '../shared/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {RegisteredServer} from './registry-entry.ts';
import {lifeOf} from './server-life.ts';

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
	take(entry: RegisteredServer, now: number): readonly MirrorChange[];
	/**
	@param canBeLapse Whether the entry may only have lapsed while the registry was away.
	*/
	remove(id: string, canBeLapse: boolean, now: number): readonly MirrorChange[];
	/**
	Ends what is limited in time.
	*/
	expire(now: number): readonly MirrorChange[];
	/**
	A server announced its shutdown in an answer.
	*/
	leavingAnnounced(id: string, life: string): readonly MirrorChange[];
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
Lives of servers whose announced shutdown is remembered; the earliest is forgotten first. A life does not return from its
shutdown, so nothing else ends the memory.
*/
export const maximumLeavingLives = 2000;

/**
Builds a view of no servers.
*/
export const createRegistryServers = (): RegistryServers => {
	const announced = createBoundedSet<string>(maximumLeavingLives);
	const known = new Map<string, KnownServer>();
	const lapsed = new Map<string, number>();

	return {
		take(entry, now) {
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
		},
		remove(id, canBeLapse, now) {
			if (canBeLapse && !known.get(id)?.server.isLeaving) {
				lapsed.set(id, now + lapseGraceMs);
				return [];
			}

			known.delete(id);
			return [{kind: 'server', id, isUsable: false}];
		},
		expire: (now) =>
			[...lapsed]
				.filter(([, until]) => until <= now)
				.map(([id]) => {
					lapsed.delete(id);
					known.delete(id);
					return {kind: 'server', id, isUsable: false} as const;
				}),
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
		known: () => known,
		// The remaining cold time shrinks while the entry is kept. A node that has just started hears of announced shutdowns.
		outgoing: (entry, now) => ({
			...entry,
			isLeaving: entry.isLeaving || announced.has(lifeOf(entry)),
			coldMs: Math.max(0, (known.get(entry.id)?.coldUntil ?? 0) - now),
		}),
	};
};
