import type {Random} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
The answer to the question which entry VMs to use.
*/
export type EntryVmList = {
	/**
	Base addresses, best first.
	*/
	readonly entryVms: readonly string[];
	/**
	Seconds for which the answer holds.
	*/
	readonly validForSeconds: number;
};

/**
How long callers may keep an answer; short, so that leaving VMs drop out soon.
*/
export const entryVmValiditySeconds = 10;

/**
 Orders the entry VMs for one caller: own zone first, then the others.
 
 Within each group the order is drawn anew for each answer, so that callers spread
 evenly; VMs that are leaving, suspect or dead are left out.
 */
export const listEntryVms = (
	self: Member,
	members: readonly Member[],
	random: Random,
): EntryVmList => {
	const live = [self, ...members].filter(({status}) => status === 'alive');
	const own = live.filter(
		({availabilityZone}) => availabilityZone === self.availabilityZone,
	);
	const others = live.filter(
		({availabilityZone}) => availabilityZone !== self.availabilityZone,
	);
	return {
		entryVms: [...shuffle(own, random), ...shuffle(others, random)].map(
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
