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
The state that the parts of the registry mirror share.
*/
export type MirrorState = {
	/**
	The registry's items by key.
	*/
	readonly rows: Map<string, RegistryItem>;
	readonly routes: RegistryRoutes;
	readonly servers: RegistryServers;
	readonly evacuations: RegistryEvacuations;
	/**
	The revision at which the registry was restored from an older copy. Later revisions were written after the restore.
	*/
	copyRevision: number;
};

/**
Creates the empty state of a node that has read nothing.
*/
export const createMirrorState = (): MirrorState => ({
	rows: new Map(),
	routes: createRegistryRoutes(),
	servers: createRegistryServers(),
	evacuations: createRegistryEvacuations(),
	copyRevision: 0,
});

/**
Whether a value must not replace the current one, whatever their revisions. Unreadable routes do not replace readable ones, so that
nodes that ask this node later receive readable ones. The entry of a server's earlier incarnation may arrive after that of a later one.
*/
export const isSuperseded = (
	{value}: RegistryItem,
	current: RegistryItem | undefined,
): boolean => {
	const currentValue = current?.value;
	switch (value?.kind) {
		case 'unreadable': {
			return currentValue?.kind === 'routes';
		}

		case 'server': {
			return (
				currentValue?.kind === 'server' &&
				(value.server.startedAt ?? 0) < (currentValue.server.startedAt ?? 0)
			);
		}

		case 'routes':
		case 'evacuation':
		case undefined: {
			return false;
		}
	}
};
