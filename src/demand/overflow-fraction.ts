import type {RegionLoad} from './region-load.ts';

/**
Fraction of the slots of a region up to which it serves its own callers without moving any of them. In the rest, requests that
arrive in the same moment still find a free slot, so they do not wait for one.
*/
export const comfortableUtilization = 0.9;

/**
The same for plain servers, whose requests are short: what waits until part of one of them ends costs its caller less than a
round trip to another region.
*/
export const plainKeptUtilization = 1.35;

// Part of the difference to the fraction that is needed by which each report changes the fraction. Reports are older than the
// requests that nodes have moved meanwhile, so a full step would swing.
const stepFraction = 0.5;

// Some requests always stay, so that the region's own demand remains visible in its load.
const maximumFraction = 0.9;

/**
Returns the fraction of a region's requests that its nodes should send to other regions, given the fraction that they send
now. It answers a peak that one region cannot serve while others have free slots: the region moves what brings it to the mean
utilization of all regions, at least keeps what it can serve comfortably, and moves no more than the others have free slots for.

@param local Load of the own region.
@param others Loads of the regions that can be reached.
@param current The present fraction, from 0 to 1.
@param keptUtilization Fraction of its slots that the region keeps using before it moves anything.
*/
export const nextOverflowFraction = (
	local: RegionLoad,
	others: readonly RegionLoad[],
	current: number,
	keptUtilization = comfortableUtilization,
): number => {
	const regions = [local, ...others];
	const load = regions.reduce((sum, each) => sum + each.load, 0);
	const slots = regions.reduce((sum, each) => sum + each.slots, 0);
	if (slots === 0 || local.slots === 0) {
		return 0;
	}

	const kept = local.slots * Math.max(keptUtilization, load / slots);
	// What the region's load would be if nothing was moved.
	const offered = local.load / (1 - current);
	const moved = offered - local.load;
	const excess = excessOf(local, keptUtilization);
	const allExcess = regions.reduce(
		(sum, region) => sum + excessOf(region, keptUtilization),
		0,
	);
	// Regions at their peak at the same time share the free slots in proportion to what they cannot serve.
	const share = allExcess === 0 ? 1 : excess / allExcess;
	const movable = Math.min(offered - kept, moved + freeSlots(others) * share);
	const needed = Math.max(0, movable) / Math.max(1, offered);
	const next = current + (needed - current) * stepFraction;
	return Math.min(maximumFraction, next);
};

const excessOf = ({load, slots}: RegionLoad, keptUtilization: number): number =>
	Math.max(0, load - slots * keptUtilization);

/**
Returns the slots of a region that requests of other regions may take.
*/
export const freeSlotsOf = ({load, slots}: RegionLoad): number =>
	Math.max(0, slots * comfortableUtilization - load);

const freeSlots = (regions: readonly RegionLoad[]): number =>
	regions.reduce((sum, region) => sum + freeSlotsOf(region), 0);
