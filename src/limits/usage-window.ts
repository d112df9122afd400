/**
Requested and admitted units of one client account, in the unit of its limit.
*/
export type Usage = {
	/**
	Units requested in the last second.
	*/
	readonly requested: number;
	/**
	Units admitted in the whole window.
	*/
	readonly admitted: number;
};

/**
Sliding-window counters of one client account at one node.
*/
export type UsageWindow = {
	recordRequested(count: number, now: number): void;
	recordAdmitted(count: number, now: number): void;
	usage(now: number): Usage;
};

// Length of a slot of the counters, in milliseconds: a fifth of the second over which demand is measured.
const slotMs = 200;
const requestedSlots = 5;

/**
Usage without requested or admitted units.
*/
export const noUsage: Usage = {requested: 0, admitted: 0};

/**
Creates an empty window.

@param windowMs Length of the window for admitted units, in milliseconds.
*/
export const createUsageWindow = (windowMs: number): UsageWindow => {
	const length = Math.max(requestedSlots, Math.ceil(windowMs / slotMs));
	const requestedInSlot = new Float64Array(length);
	const admittedInSlot = new Float64Array(length);
	let current = 0;
	let admittedSum = 0;

	// Clears the slots that have expired since the last call.
	const advanceTo = (now: number) => {
		const slot = Math.floor(now / slotMs);
		const first = Math.max(current + 1, slot - length + 1);
		for (let each = first; each <= slot; each += 1) {
			admittedSum -= admittedInSlot[each % length]!;
			requestedInSlot[each % length] = 0;
			admittedInSlot[each % length] = 0;
		}

		current = Math.max(current, slot);
	};

	const recentlyRequested = (): number => {
		let sum = 0;
		for (let back = 0; back < requestedSlots; back += 1) {
			sum += requestedInSlot[(current - back + length) % length]!;
		}

		return sum;
	};

	return {
		recordRequested(count, now) {
			advanceTo(now);
			requestedInSlot[current % length]! += count;
		},
		recordAdmitted(count, now) {
			advanceTo(now);
			admittedInSlot[current % length]! += count;
			admittedSum += count;
		},
		usage(now) {
			advanceTo(now);
			return {
				requested: recentlyRequested(),
				admitted: Math.max(0, admittedSum),
			};
		},
	};
};
