import type {RegisteredServer, RegistryItem} from '../../src/registry/index.ts';

/**
Creates a registered server with default values.
*/
export const registeredServerOf = (
	id: string,
	change: Partial<RegisteredServer> = {},
): RegisteredServer => ({
	id,
	service: 'engine',
	address: '10.0.0.1:80',
	availabilityZone: 'zone-a',
	slots: 8,
	isLeaving: false,
	coldMs: 0,
	...change,
});

/**
Creates the registry item of a server at a revision.
*/
export const serverItemOf = (
	id: string,
	revision: number,
	change: Partial<RegisteredServer> = {},
): RegistryItem => ({
	key: `servers/${id}`,
	revision,
	value: {kind: 'server', server: registeredServerOf(id, change)},
});
