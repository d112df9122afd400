import {
	createRouteTable,
	type RouteDocument,
	type RouteTable,
} from '../routes/index.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {RegistryItem} from './registry-entry.ts';

/**
The routes in force. Their version never decreases during one run of the process.
*/
export type RegistryRoutes = {
	/**
	Records the routes that the registry holds under a key, and puts them in force if they are later.
	*/
	register(key: string, document: RouteDocument): readonly MirrorChange[];
	/**
	Puts routes in force if they are later, whichever node read them and when.
	*/
	offer(key: string, document: RouteDocument): readonly MirrorChange[];
	/**
	Records that the registry was restored from an older copy, whose routes are registered next.
	*/
	markRestored(now: number): void;
	/**
	Records that the routes were written again after the restore.
	*/
	markRewritten(): void;
	table(): RouteTable | undefined;
	version(): number;
	/**
	The version that the registry holds; 0 if it holds none.
	*/
	registeredVersion(): number;
	/**
	Whether the routes in force are later than those the registry holds.
	*/
	isAheadOfRegistry(): boolean;
	/**
	Whether routes may exist that the registry has lost and that were not written again yet.
	*/
	mayLack(now: number): boolean;
	/**
	The routes in force as an item without a revision.
	*/
	item(): RegistryItem | undefined;
};

/**
How long routes are considered incomplete after the registry was restored from an older copy, unless they are written
again, in milliseconds.
*/
export const rewriteGraceMs = 3000;

/**
Creates a view without routes.
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
