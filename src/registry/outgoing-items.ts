/**
The registry's items as this node sends them to other nodes, including state that the registry itself does not hold.
*/
import type {MirrorState} from './mirror-state.ts';
import type {RegistryItem} from './registry-entry.ts';

/**
An item as it is sent to another node.
*/
export const outgoingItem = (
	{servers}: MirrorState,
	item: RegistryItem,
	now: number,
): RegistryItem => {
	const {value} = item;
	switch (value?.kind) {
		case 'server': {
			const provisionalMs = servers.heldBackMs(value.server.id, now);
			return {
				...item,
				...(provisionalMs !== undefined && {provisionalMs}),
				value: {
					kind: 'server',
					server: servers.outgoing(value.server, now),
				},
			};
		}

		case 'routes':
		case 'evacuation':
		case 'unreadable':
		case undefined: {
			return item;
		}
	}
};

/**
All items as they are sent to another node.
*/
export const outgoingItems = (
	state: MirrorState,
	now: number,
): readonly RegistryItem[] => {
	const {rows, routes, evacuations} = state;
	const inForce = routes.item();
	return [
		...rows.values().map((item) => outgoingItem(state, item, now)),
		...(inForce && routes.isAheadOfRegistry() ? [inForce] : []),
		...evacuations
			.retained(now)
			.map(({key, availabilityZone, remainingMs}): RegistryItem => ({
				key,
				revision: 0,
				value: {kind: 'evacuation', availabilityZone},
				provisionalMs: remainingMs,
			})),
	];
};
