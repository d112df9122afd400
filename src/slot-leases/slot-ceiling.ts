import {createRefusalWindow} from './refusal-window.ts';

/**
How many leases of one backend server may be out at the same time, learned from its refusals.
*/
export type SlotCeiling = {
	/**
	Returns the number of leases that may be out now; 0 while the server has refused as many requests as it may.
	*/
	at(now: number): number;
	/**
	Records refusals.

	@param outstanding Leases that were out when the server refused.
	*/
	recordRefusals(count: number, outstanding: number, now: number): void;
	/**
	Records that all leases are out while requests wait; called at each distribution.
	*/
	recordSaturation(now: number): void;
};

/**
Inputs of a ceiling.
*/
export type SlotCeilingOptions = {
	readonly slots: number;
	/**
	Refusals per second that the server survives.
	*/
	readonly refusalsPerSecond: () => number;
	/**
	Fraction of the nodes that may be sending to the server which this issuer can reach, from 0 to 1.
	*/
	readonly reachableFraction: () => number;
	/**
	Called when the ceiling was lowered because of refusals.
	*/
	readonly onLowered: (fields: {
		readonly refusals: number;
		readonly outstanding: number;
		readonly ceiling: number;
	}) => void;
};

/**
Time after the first message about a server in which nothing is granted, in milliseconds. In this time, nodes state what they hold.
*/
export const takeoverMs = 150;

/**
Fraction of the slots with which an issuer begins, and the time until it may use all of them, in milliseconds. A server that has
just started receives its requests gradually.
*/
export const initialFraction = 0.25;
export const rampMs = 1000;

/**
Fraction of the refusals that a server survives which all nodes together may cause.
*/
export const refusalFraction = 0.5;

/**
Time without a refusal, while all leases are out, after which one more lease is allowed, in milliseconds: up to the slots that are left
to the reachable nodes, and beyond them, where requests wait at the server or the other nodes are gone.
*/
export const recoveryStepMs = 500;
export const probeStepMs = 3000;

/**
Maximum of both times, which double with each refusal that follows an increase, in milliseconds.
*/
export const maximumStepMs = 60_000;

// Leases beyond the slots, as a fraction of the slots. They cover the way of the messages between two requests.
const maximumQueueFraction = 0.25;

// Requests that were in flight together are refused together, and count as one reason to lower the ceiling, in milliseconds.
const refusalBurstMs = 50;

// Time between two distributions that find all leases out within which they were out throughout, in milliseconds.
const saturationGapMs = 1000;

// Fewer refusals a second leave none for trying whether a server lets more requests wait.
const minimumProbeRefusals = 3;

/**
Creates the ceiling of a server of which no lease is out.
*/
export const createSlotCeiling = (
	{slots, refusalsPerSecond, reachableFraction, onLowered}: SlotCeilingOptions,
	createdAt: number,
): SlotCeiling => {
	const refusals = createRefusalWindow();
	const startsAt = createdAt + takeoverMs;
	let ceiling = slots;
	let lastFraction = 1;
	let loweredAt = -Infinity;
	let saturatedSince = createdAt;
	let saturatedAt = -Infinity;
	let stepFactor = 1;

	// Unreachable nodes may hold leases of an issuer that they can reach. Exactly half of a slot is left to neither.
	const reachableSlots = (): number =>
		Math.max(1, Math.ceil(slots * lastFraction - 0.5));

	const maximum = (): number =>
		refusalsPerSecond() >= minimumProbeRefusals
			? slots + Math.max(1, Math.floor(slots * maximumQueueFraction))
			: reachableSlots();

	const applyFraction = () => {
		const fraction = reachableFraction();
		const hasShrunk = fraction < lastFraction;
		lastFraction = fraction;
		if (hasShrunk) {
			ceiling = Math.min(ceiling, reachableSlots());
		}
	};

	const isPaused = (now: number): boolean =>
		refusals.isExhausted(
			Math.max(1, refusalsPerSecond() * refusalFraction * lastFraction),
			now,
		);

	return {
		at(now) {
			applyFraction();
			if (now < startsAt || isPaused(now)) {
				return 0;
			}

			const ramp = initialFraction + (now - startsAt) / rampMs;
			return Math.min(ceiling, Math.max(1, Math.ceil(slots * ramp)));
		},
		recordRefusals(count, outstanding, now) {
			refusals.record(count, now);
			saturatedAt = -Infinity;
			if (now - loweredAt < refusalBurstMs) {
				return;
			}

			loweredAt = now;
			ceiling = Math.max(1, Math.min(ceiling, outstanding) - 1);
			stepFactor *= 2;
			onLowered({refusals: count, outstanding, ceiling});
		},
		recordSaturation(now) {
			if (now - saturatedAt > saturationGapMs) {
				saturatedSince = now;
			}

			saturatedAt = now;
			const stepMs = Math.min(
				maximumStepMs,
				(ceiling < reachableSlots() ? recoveryStepMs : probeStepMs) *
					stepFactor,
			);
			const since = Math.max(saturatedSince, loweredAt);
			if (ceiling >= maximum() || now - since < stepMs) {
				return;
			}

			ceiling += 1;
			saturatedSince = now;
			// A ceiling that was held shows that the refusals were of the moment.
			stepFactor = ceiling < slots ? Math.max(1, stepFactor / 2) : stepFactor;
		},
	};
};
