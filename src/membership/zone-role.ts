import {
	createDerived,
	rendezvousFirst,
	rendezvousOrder,
} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
How many nodes of a zone share each duty; a second one covers the loss of the first.
*/
export const nodesPerRole = 2;

/**
 Whether this node holds a duty of its zone, such as watching one platform service.
 
 Every node works it out from its own view. While views differ, more nodes than
 intended may hold a duty, which costs calls but never correctness.
 */
export const hasRole = (
	duty: string,
	self: Member,
	members: readonly Member[],
): boolean => roleHolders(duty, self, members).some(({id}) => id === self.id);

/**
The nodes of this node's zone that hold a duty, as far as this node knows, two where no other number
is given.
*/
export const roleHolders = (
	duty: string,
	self: Member,
	members: readonly Member[],
	count = nodesPerRole,
): readonly Member[] => {
	const inZone = members.filter(
		({availabilityZone, status}) =>
			availabilityZone === self.availabilityZone && status === 'alive',
	);
	const candidates = self.status === 'alive' ? [self, ...inZone] : inZone;
	return rendezvousOrder(duty, candidates, ({id}) => id).slice(0, count);
};

/**
Builds the view of who holds a duty in each zone where one node of it does; worked out anew only when the members
change, or this node leaves.

@param duty Names the duty.
@param self This node.
@param usable The other nodes that can be given work; replaced when they change.
*/
export const createZoneRoleHolders = (
	duty: string,
	self: () => Member,
	usable: () => readonly Member[],
): (() => ReadonlyMap<string, Member>) => {
	const holdersOf = (members: readonly Member[]) =>
		new Map(
			[...Map.groupBy(members, ({availabilityZone}) => availabilityZone)].map(
				([zone, inZone]) => [
					zone,
					rendezvousFirst(duty, inZone, ({id}) => id)!,
				],
			),
		);
	const whileAlive = createDerived(usable, (members) =>
		holdersOf([self(), ...members]),
	);
	const whileLeaving = createDerived(usable, holdersOf);
	return () => (self().status === 'alive' ? whileAlive() : whileLeaving());
};
