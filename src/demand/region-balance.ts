import type {RegionLoad, RegionLoads} from './region-load.ts';
import {freeSlotsOf, nextOverflowFraction} from './overflow-fraction.ts';

/**
Decides which requests of this node's callers go to another region before the own one is full.
*/
export type RegionBalance = {
	/**
	Adjusts the fractions after new loads have been received.
	*/
	update(now: number): void;
	/**
	Returns the region to which a request is moved, or undefined if it stays.

	@param isAllowed Whether the request may be served in a region.
	*/
	regionFor(
		service: string,
		isAllowed: (region: string) => boolean,
		now: number,
	): string | undefined;
	/**
	Returns the region that a request goes to which finds the own one full, drawn by free slots. Returns undefined if no region
	that may serve it has any, or if no loads are known.

	@param isAllowed Whether the request may be served in a region.
	*/
	regionWithFreeSlots(
		service: string,
		isAllowed: (region: string) => boolean,
		now: number,
	): string | undefined;
	/**
	The fraction of the requests that is moved, by service.
	*/
	fractions(): ReadonlyMap<string, number>;
};

/**
Options of `createRegionBalance`.
*/
export type RegionBalanceOptions = {
	readonly localRegion: string;
	readonly loads: RegionLoads;
	/**
	Fraction of the slots of a service that this region keeps using before it moves anything.
	*/
	readonly keptUtilization: (service: string) => number;
	/**
	Random number from 0 (inclusive) to 1 (exclusive).
	*/
	readonly randomFraction: () => number;
	/**
	Called when the node begins or ceases to move requests of a service.
	*/
	readonly onChange: (service: string, fraction: number) => void;
};

// Below this fraction, so few requests would move that none does.
const minimumFraction = 0.02;

/**
Creates a balance that moves nothing until loads are known.
*/
export const createRegionBalance = ({
	localRegion,
	loads,
	keptUtilization,
	randomFraction,
	onChange,
}: RegionBalanceOptions): RegionBalance => {
	const fractions = new Map<string, number>();

	const setFraction = (service: string, fraction: number) => {
		const wasMoving = fractions.has(service);
		const isMoving = fraction >= minimumFraction;
		if (isMoving) {
			fractions.set(service, fraction);
		} else {
			fractions.delete(service);
		}

		if (isMoving !== wasMoving) {
			onChange(service, isMoving ? fraction : 0);
		}
	};

	const othersOf = (service: string, now: number): readonly RegionLoad[] =>
		loads
			.recent(now)
			.filter(
				(load) => load.service === service && load.region !== localRegion,
			);

	const drawByFreeSlots = (
		regions: readonly RegionLoad[],
	): string | undefined => {
		const total = regions.reduce((sum, load) => sum + freeSlotsOf(load), 0);
		let position = randomFraction() * total;
		for (const load of regions) {
			position -= freeSlotsOf(load);
			if (position < 0) {
				return load.region;
			}
		}

		return undefined;
	};

	return {
		update(now) {
			for (const service of new Set([
				...fractions.keys(),
				...loads.recent(now).map((load) => load.service),
			])) {
				const local = loads.of(localRegion, service, now);
				setFraction(
					service,
					local
						? nextOverflowFraction(
								local,
								othersOf(service, now),
								fractions.get(service) ?? 0,
								keptUtilization(service),
							)
						: 0,
				);
			}
		},
		regionFor(service, isAllowed, now) {
			const fraction = fractions.get(service) ?? 0;
			if (fraction === 0 || randomFraction() >= fraction) {
				return undefined;
			}

			// A draw that falls on a region that may not serve the request leaves it here, so that requests which are bound to few
			// regions do not fill those.
			const region = drawByFreeSlots(othersOf(service, now));
			return region !== undefined && isAllowed(region) ? region : undefined;
		},
		regionWithFreeSlots: (service, isAllowed, now) =>
			drawByFreeSlots(
				othersOf(service, now).filter(({region}) => isAllowed(region)),
			),
		fractions: () => fractions,
	};
};
