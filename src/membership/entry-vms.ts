import type {Random} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
The answer to a request for the entry VMs to use.
*/
export type EntryVmList = {
	/**
	Base addresses, best first.
	*/
	readonly entryVms: readonly string[];
	/**
	Seconds for which the answer is valid.
	*/
	readonly validForSeconds: number;
};

/**
How long callers may cache an answer, in seconds; short, so that callers soon stop using leaving VMs.
*/
export const entryVmValiditySeconds = 10;

/**
 Orders the entry VMs for one caller: those in this node's zone first, then the others.
 
 Each answer shuffles both groups, so that callers spread evenly. VMs that are leaving, suspect
 or dead are left out.
 */
export const listEntryVms = (
	self: Member,
	members: readonly Member[],
	random: Random,
): EntryVmList => {
	const live = [self, ...members].filter(({status}) => status === 'alive');
	const local = live.filter(
		({availabilityZone}) => availabilityZone === self.availabilityZone,
	);
	const others = live.filter(
		({availabilityZone}) => availabilityZone !== self.availabilityZone,
	);
	return {
		entryVms: [...shuffle(local, random), ...shuffle(others, random)].map(
			({callerAddress}) => `http://${callerAddress}`,
		),
		validForSeconds: entryVmValiditySeconds,
	};
};

const shuffle = <Item>(
	items: readonly Item[],
	random: Random,
): readonly Item[] =>
	items
		.map((item) => ({item, position: random.fraction()}))
		.toSorted((left, right) => left.position - right.position)
		.map(({item}) => item);
