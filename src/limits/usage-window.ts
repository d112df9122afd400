/**
What was asked for and what was let through of one client account, in the unit of its limit.
*/
export type Usage = {
	/**
	Asked for in the last second.
	*/
	readonly requested: number;
	/**
	Let through in the whole window.
	*/
	readonly admitted: number;
};

/**
Counts of one client account at one node.
*/
export type UsageWindow = {
	recordRequested(count: number, now: number): void;
	recordAdmitted(count: number, now: number): void;
	usage(now: number): Usage;
};

// Counts are kept by slots of this length, in milliseconds: a fifth of the second in which demand is measured.
const slotMs = 200;
const askedSlots = 5;

/**
Nothing asked for, nothing let through.
*/
export const noUsage: Usage = {requested: 0, admitted: 0};

/**
Builds a window without counts.

@param windowMs For how long what was let through counts, in milliseconds.
*/
export const createUsageWindow = (windowMs: number): UsageWindow => {
	const length = Math.max(askedSlots, Math.ceil(windowMs / slotMs));
	const askedIn = new Float64Array(length);
	const passedIn = new Float64Array(length);
	let current = 0;
	let passedSum = 0;

	// Empties the slots that have come round since the last count.
	const moveTo = (now: number) => {
		const slot = Math.floor(now / slotMs);
		const first = Math.max(current + 1, slot - length + 1);
		for (let each = first; each <= slot; each += 1) {
			passedSum -= passedIn[each % length]!;
			askedIn[each % length] = 0;
			passedIn[each % length] = 0;
		}

		current = Math.max(current, slot);
	};

	const askedLately = (): number => {
		let sum = 0;
		for (let back = 0; back < askedSlots; back += 1) {
			sum += askedIn[(current - back + length) % length]!;
		}

		return sum;
	};

	return {
		recordRequested(count, now) {
			moveTo(now);
			askedIn[current % length]! += count;
		},
		recordAdmitted(count, now) {
			moveTo(now);
			passedIn[current % length]! += count;
			passedSum += count;
		},
		usage(now) {
			moveTo(now);
			return {requested: askedLately(), admitted: Math.max(0, passedSum)};
		},
	};
};
