import type {Member} from '../membership/index.ts';
import {createDerived, rendezvousOrder} from '../shared/index.ts';

/**
The nodes that keep the origin of a stream, as computed from its key. All nodes compute them without exchanging messages.
*/
export type OriginHolders = {
	/**
	The nodes to which this node sends a record: one of its region, in another zone if there is one, and one of another region.
	*/
	toRecordAt(key: string): readonly Member[];
	/**
	The nodes that may have received the record, whichever node sent it.
	*/
	toAsk(key: string): readonly Member[];
};

/**
Options of `createOriginHolders`.
*/
export type OriginHoldersOptions = {
	readonly self: () => Member;
	/**
	The other nodes that can receive messages; a new list whenever they change.
	*/
	readonly usable: () => readonly Member[];
	readonly regionOf: (availabilityZone: string) => string;
};

/**
Number of groups into which keys are divided. The holders of a group are computed once for each change of the members, so that
the work per stream does not grow with the number of nodes.
*/
export const originGroups = 512;

type Holders = {
	readonly toRecordAt: readonly Member[];
	readonly toAsk: readonly Member[];
};

// The two nodes of a region among which every writer finds one that is in another zone, or at least another node.
type RegionPair = {readonly first: Member; readonly second: Member | undefined};

// Hexadecimal digits of a key from which its group follows.
const groupDigits = 8;

/**
Creates the holders.
*/
export const createOriginHolders = ({
	self,
	usable,
	regionOf,
}: OriginHoldersOptions): OriginHolders => {
	const groups = createDerived(usable, () => new Map<number, Holders>());

	const compute = (group: number): Holders => {
		const own = self();
		const ordered = rendezvousOrder(
			`stream-origins ${group}`,
			own.status === 'alive' ? [own, ...usable()] : usable(),
			({id}) => id,
		);
		const byRegion = Map.groupBy(ordered, ({availabilityZone}) =>
			regionOf(availabilityZone),
		);
		const ownRegion = regionOf(own.availabilityZone);
		const near = pairOf(byRegion.get(ownRegion) ?? []);
		// Groups are ordered like their first members, and so are the regions. A writer uses the first region that is not its own, so
		// that it is one of the first two.
		const far = [...byRegion]
			.slice(0, 2)
			.filter(([region]) => region !== ownRegion)
			.map(([, members]) => members[0]!);
		return {
			toRecordAt: [near && nearHolder(near, own), far[0]].filter(
				(member) => member !== undefined,
			),
			toAsk: [near?.first, near?.second, ...far]
				.filter((member) => member !== undefined)
				.filter(({id}) => id !== own.id),
		};
	};

	const holdersOf = (key: string): Holders => {
		const group = Number.parseInt(key.slice(0, groupDigits), 16) % originGroups;
		const known = groups().get(group) ?? compute(group);
		groups().set(group, known);
		return known;
	};

	return {
		toRecordAt: (key) => holdersOf(key).toRecordAt,
		toAsk: (key) => holdersOf(key).toAsk,
	};
};

const pairOf = (ordered: readonly Member[]): RegionPair | undefined => {
	const [first, next] = ordered;
	return (
		first && {
			first,
			second:
				ordered.find(
					({availabilityZone}) => availabilityZone !== first.availabilityZone,
				) ?? next,
		}
	);
};

const nearHolder = (
	{first, second}: RegionPair,
	own: Member,
): Member | undefined => {
	const isOtherZone = first.availabilityZone !== own.availabilityZone;
	const isOnlyZone = second?.availabilityZone === first.availabilityZone;
	return isOtherZone || (isOnlyZone && first.id !== own.id) ? first : second;
};
