import type {Member} from '../membership/index.ts';

/**
Whom a caller asks for.
*/
export type EntryQuestion = {
	/**
	Nodes that can take requests.
	*/
	readonly members: readonly Member[];
	readonly regionOf: (availabilityZone: string) => string;
	readonly region: string;
	readonly availabilityZone: string;
};

// A caller is told of its own zone's nodes only where there are so many: it needs another one when
// the first fails it.
const minimumInZone = 2;

/**
The nodes that a caller should use: those of its zone, else those of its region. Nodes of other
regions only where its own has none, for a request that may run in some regions only must not be
read in another one without need.
*/
export const entriesFor = ({
	members,
	regionOf,
	region,
	availabilityZone,
}: EntryQuestion): readonly Member[] => {
	const inRegion = members.filter(
		(member) => regionOf(member.availabilityZone) === region,
	);
	const inZone = inRegion.filter(
		(member) => member.availabilityZone === availabilityZone,
	);
	if (inZone.length >= minimumInZone) {
		return inZone;
	}

	return inRegion.length > 0 ? inRegion : members;
};
