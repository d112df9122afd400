import {
	createRouteTable,
	type RouteDocument,
	type RouteTable,
} from '../routes/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {RegistryItem} from './registry-entry.ts';

/**
The routes in force, whose version never goes back within one life of the process.
*/
export type RegistryRoutes = {
	/**
	Takes what the registry holds under a key.
	*/
	register(key: string, document: RouteDocument): readonly MirrorChange[];
	/**
	Takes what any node has read at any time.
	*/
	offer(key: string, document: RouteDocument): readonly MirrorChange[];
	/**
	The registry came back from an older copy, whose routes are registered next.
	*/
	markRestored(now: number): void;
	/**
	The routes were written since then.
	*/
	markRewritten(): void;
	table(): RouteTable | undefined;
	version(): number;
	/**
	The version that the registry holds; 0 for none.
	*/
	registeredVersion(): number;
	/**
	Whether those in force are later than what the registry holds.
	*/
	isAheadOfRegistry(): boolean;
	/**
	Whether routes may exist that the registry has lost and nobody has written again yet.
	*/
	mayLack(now: number): boolean;
	/**
	The routes in force as an item without a revision.
	*/
	item(): RegistryItem | undefined;
};

/**
How long routes are taken as incomplete after the registry came back from an older copy, unless they are written again, in
milliseconds.
*/
export const rewriteGraceMs = 3000;

/**
Builds a view without routes.
*/
export const createRegistryRoutes = (): RegistryRoutes => {
	let inForce: {readonly key: string; readonly table: RouteTable} | undefined;
	let registeredVersion = 0;
	let mayLackUntil = -Infinity;

	const version = () => inForce?.table.document.version ?? 0;

	const offer = (
		key: string,
		document: RouteDocument,
	): readonly MirrorChange[] => {
		if (inForce && document.version <= version()) {
			return [];
		}

		inForce = {key, table: createRouteTable(document)};
		return [{kind: 'routes', version: document.version}];
	};

	return {
		register(key, document) {
			registeredVersion = document.version;
			return offer(key, document);
		},
		offer,
		markRestored(now) {
			registeredVersion = 0;
			mayLackUntil = now + rewriteGraceMs;
		},
		markRewritten() {
			mayLackUntil = -Infinity;
		},
		table: () => inForce?.table,
		version,
		registeredVersion: () => registeredVersion,
		isAheadOfRegistry: () => version() > registeredVersion,
		mayLack: (now) => now < mayLackUntil,
		item: () =>
			inForce && {
				key: inForce.key,
				revision: 0,
				value: {kind: 'routes', document: inForce.table.document},
			},
	};
};
