import {
	createDerived,
	rendezvousFirst,
	rendezvousOrder,
} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
Number of nodes per zone that hold each role; the second covers the loss of the first.
*/
export const nodesPerRole = 2;

/**
 Whether this node holds a role in its zone, such as watching one platform service.
 
 Every node computes this from its own view by rendezvous hashing. While views differ, more nodes
 than intended may hold a role, which costs calls but never correctness.
 */
export const hasRole = (
	role: string,
	self: Member,
	members: readonly Member[],
): boolean => roleHolders(role, self, members).some(({id}) => id === self.id);

/**
The nodes of this node's zone that hold a role, according to this node's view; two unless another number is given.
*/
export const roleHolders = (
	role: string,
	self: Member,
	members: readonly Member[],
	count = nodesPerRole,
): readonly Member[] => {
	const inZone = members.filter(
		({availabilityZone, status}) =>
			availabilityZone === self.availabilityZone && status === 'alive',
	);
	const candidates = self.status === 'alive' ? [self, ...inZone] : inZone;
	return rendezvousOrder(role, candidates, ({id}) => id).slice(0, count);
};

/**
Creates a view of the holder of a role in each zone, for roles with one holder per zone. It is recomputed only when the
members change or this node leaves.

@param role Name of the role.
@param self This node.
@param usable The other nodes that can receive work; a new list whenever they change.
*/
export const createZoneRoleHolders = (
	role: string,
	self: () => Member,
	usable: () => readonly Member[],
): (() => ReadonlyMap<string, Member>) => {
	const holdersOf = (members: readonly Member[]) =>
		new Map(
			[...Map.groupBy(members, ({availabilityZone}) => availabilityZone)].map(
				([zone, inZone]) => [
					zone,
					rendezvousFirst(role, inZone, ({id}) => id)!,
				],
			),
		);
	const whileAlive = createDerived(usable, (members) =>
		holdersOf([self(), ...members]),
	);
	const whileLeaving = createDerived(usable, holdersOf);
	return () => (self().status === 'alive' ? whileAlive() : whileLeaving());
};
