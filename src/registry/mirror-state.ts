import type {RegistryItem} from './registry-entry.ts';
import {
	createRegistryEvacuations,
	type RegistryEvacuations,
} from './registry-evacuations.ts';
import {createRegistryRoutes, type RegistryRoutes} from './registry-routes.ts';
import {
	createRegistryServers,
	type RegistryServers,
} from './registry-servers.ts';

/**
What the parts of the registry's copy work on.
*/
export type MirrorState = {
	/**
	What the registry holds under each key.
	*/
	readonly rows: Map<string, RegistryItem>;
	readonly routes: RegistryRoutes;
	readonly servers: RegistryServers;
	readonly evacuations: RegistryEvacuations;
	/**
	The revision with which the registry came back from an older copy. Later ones were written afterwards.
	*/
	copyRevision: number;
};

/**
Builds the state of a node that knows nothing.
*/
export const createMirrorState = (): MirrorState => ({
	rows: new Map(),
	routes: createRegistryRoutes(),
	servers: createRegistryServers(),
	evacuations: createRegistryEvacuations(),
	copyRevision: 0,
});

/**
Whether a value must not replace another one, whatever their revisions: readable routes outlast unreadable ones, also for nodes that
ask this one later, and the entry of a server's earlier life may arrive after that of its later one.
*/
export const isSuperseded = (
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
