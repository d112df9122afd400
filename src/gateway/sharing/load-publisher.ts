import type {BackendFleet} from '../../backends/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import type {RegistryMirror} from '../../registry/index.ts';

/**
States the load of the own zone to the other nodes.
*/
export type LoadPublisher = {
	/**
	States it once the interval is over; called at each tick.
	*/
	tick(now: number): void;
};

/**
How often the load of the own zone is stated, in milliseconds.
*/
export const loadIntervalMs = 500;

// The digest has room for figures that this gateway neither measures nor reads.
const firstTokenUnknown = 0;
const costUnknown = 0;

/**
Builds the statement of one node.
*/
export const createLoadPublisher = (
	mesh: Mesh,
	fleet: BackendFleet,
	mirror: RegistryMirror,
): LoadPublisher => {
	let nextAt = 0;

	const state = (now: number) => {
		const services = mirror.routes()?.document.services ?? [];
		const loads = services.map(
			({name}) =>
				[
					name,
					{
						...fleet.loadOf(name, now),
						firstTokenMs: firstTokenUnknown,
						costPerThousandTokens: costUnknown,
					},
				] as const,
		);
		mesh.publishLoad(Object.fromEntries(loads), now);
	};

	return {
		tick(now) {
			if (now < nextAt) {
				return;
			}

			nextAt = now + loadIntervalMs;
			state(now);
		},
	};
};
