import type {SlotGrant, SlotRequest} from '../peers/slot-lease-messages.ts';
import type {SlotCeiling} from './slot-ceiling.ts';

/**
A grant for one node.
*/
export type AddressedGrant = {readonly to: string; readonly grant: SlotGrant};

/**
Issues the slots of one backend server to the nodes that send to it. Each lease permits one request in flight, so that all nodes
together keep within what the server can hold.
*/
export type SlotIssuer = {
	/**
	Processes what a node holds and wants.

	@returns The answer to that node, unless it holds and wants nothing, and grants to others for which there is a lease now.
	*/
	receive(
		from: string,
		request: SlotRequest,
		now: number,
	): readonly AddressedGrant[];
	/**
	Grants leases that have become free, and drops nodes that are no longer heard; called at each tick.
	*/
	tick(now: number): readonly AddressedGrant[];
	/**
	Leases that are out.
	*/
	outstanding(): number;
	/**
	Whether no node holds or wants a lease.
	*/
	isIdle(): boolean;
};

/**
Time after the last message of a node in which its leases count as out, in milliseconds. Longer than nodes use leases without an answer.
*/
export const holderRetentionMs = 2000;

type Holder = {
	session: number;
	sequence: number;
	granted: number;
	returned: number;
	wanted: number;
	urgency: number;
	refusals: number;
	waitsSince: number;
	receivedAt: number;
};

/**
Creates an issuer that knows of no node.
*/
export const createSlotIssuer = (
	incarnationId: string,
	ceiling: SlotCeiling,
): SlotIssuer => {
	const holders = new Map<string, Holder>();
	let outstanding = 0;

	const heldBy = ({granted, returned}: Holder): number =>
		Math.max(0, granted - returned);

	const update = (from: string, request: SlotRequest, now: number) => {
		const known = holders.get(from);
		const isSameSession = known?.session === request.session;
		if (
			known &&
			(request.session < known.session ||
				(isSameSession && request.sequence < known.sequence))
		) {
			return;
		}

		// In a new session, a node states what it holds of an earlier one, perhaps of another issuer.
		const holder: Holder = {
			...request,
			granted: isSameSession
				? Math.max(known.granted, request.granted)
				: request.granted,
			waitsSince: known && known.wanted > 0 ? known.waitsSince : now,
			receivedAt: now,
		};
		const newRefusals = isSameSession
			? request.refusals - known.refusals
			: request.refusals;
		if (newRefusals > 0) {
			ceiling.recordRefusals(newRefusals, outstanding, now);
		}

		outstanding += heldBy(holder) - (known ? heldBy(known) : 0);
		holders.delete(from);
		holders.set(from, holder);
	};

	const nextWaiting = (): readonly [string, Holder] | undefined => {
		let next: readonly [string, Holder] | undefined;
		for (const entry of holders) {
			const [, holder] = entry;
			if (holder.wanted > 0 && (!next || isBefore(holder, next[1]))) {
				next = entry;
			}
		}

		return next;
	};

	const distribute = (now: number): Set<string> => {
		const changed = new Set<string>();
		const maximum = ceiling.at(now);
		let next = nextWaiting();
		while (next && outstanding < maximum) {
			const [id, holder] = next;
			holder.granted += 1;
			holder.wanted -= 1;
			holder.waitsSince = now;
			outstanding += 1;
			changed.add(id);
			next = nextWaiting();
		}

		if (next && maximum > 0) {
			ceiling.recordSaturation(now);
		}

		return changed;
	};

	const grantsTo = (ids: Iterable<string>): readonly AddressedGrant[] => {
		const isContended = nextWaiting() !== undefined;
		return [...ids].flatMap((to) => {
			const holder = holders.get(to);
			return holder
				? [
						{
							to,
							grant: {
								incarnationId,
								session: holder.session,
								sequence: holder.sequence,
								granted: holder.granted,
								isContended,
							},
						},
					]
				: [];
		});
	};

	return {
		receive(from, request, now) {
			update(from, request, now);
			const changed = distribute(now);
			const holder = holders.get(from);
			// A node that only returned its leases needs no answer.
			const shouldAnswer =
				holder !== undefined && (holder.wanted > 0 || heldBy(holder) > 0);
			return grantsTo(shouldAnswer ? changed.add(from) : changed);
		},
		tick(now) {
			for (const [id, holder] of holders) {
				if (now - holder.receivedAt <= holderRetentionMs) {
					continue;
				}

				outstanding -= heldBy(holder);
				holders.delete(id);
			}

			return grantsTo(distribute(now));
		},
		outstanding: () => outstanding,
		isIdle: () => holders.size === 0,
	};
};

const isBefore = (left: Holder, right: Holder): boolean =>
	left.urgency === right.urgency
		? left.waitsSince < right.waitsSince
		: left.urgency < right.urgency;
