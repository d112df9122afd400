import type {RegisteredServer, RegistryItem} from '../../src/registry/index.ts';

/**
A server as its entry names it.
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
The entry of a server at a revision.
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
