import type {BackendFleet} from '../../backends/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import type {RegistryMirror} from '../../registry/index.ts';

/**
Publishes the load of this node's zone to the other nodes.
*/
export type LoadPublisher = {
	/**
	Publishes the load once the interval has passed; called at each tick.
	*/
	tick(now: number): void;
};

/**
Interval at which the load of the zone is published, in milliseconds.
*/
export const loadIntervalMs = 500;

// The digest has fields that this gateway neither measures nor reads.
const firstTokenUnknown = 0;
const costUnknown = 0;

/**
Creates the publisher of one node.
*/
export const createLoadPublisher = (
	mesh: Mesh,
	fleet: BackendFleet,
	mirror: RegistryMirror,
): LoadPublisher => {
	let nextAt = 0;

	const publish = (now: number) => {
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
			publish(now);
		},
	};
};
