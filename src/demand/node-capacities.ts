import {createRecentReports} from './recent-reports.ts';

/**
Relative capacity of a node: the requests a second that its processor and its link carry.
*/
export type NodeCapacity = {readonly node: string; readonly capacity: number};

/**
The latest capacities of nodes.
*/
export type NodeCapacities = {
	record(capacities: readonly NodeCapacity[], now: number): void;
	/**
	Returns the capacity of a node, or undefined without a recent report.
	*/
	of(node: string, now: number): number | undefined;
	/**
	Returns all recent capacities, and removes the others.
	*/
	recent(now: number): readonly NodeCapacity[];
};

/**
Maximum age of a capacity that is used, in milliseconds.
*/
export const capacityMaximumAgeMs = 2500;

/**
Creates capacities without reports.
*/
export const createNodeCapacities = (): NodeCapacities => {
	const reports = createRecentReports<NodeCapacity>(capacityMaximumAgeMs);

	return {
		record(capacities, now) {
			for (const capacity of capacities) {
				reports.record(capacity.node, capacity, now);
			}
		},
		of: (node, now) => reports.of(node, now)?.capacity,
		recent: reports.all,
	};
};

/**
What a node may use of its machine.
*/
export type NodeResources = {
	/**
	Processor time, in cores.
	*/
	readonly processorCores: number | undefined;
	/**
	Bandwidth of the link, in megabits per second.
	*/
	readonly linkMbps: number | undefined;
};

// Processor time and bytes that a node assumes for one request: a stream of some ten events, received and sent.
const secondsPerRequest = 0.005;
const bytesPerRequest = 20_000;

const bytesPerMegabit = 125_000;

/**
Returns the requests a second that a node with these resources carries; undefined if none of them is known.
*/
export const capacityOfNode = ({
	processorCores,
	linkMbps,
}: NodeResources): number | undefined =>
	processorCores === undefined && linkMbps === undefined
		? undefined
		: Math.min(
				(processorCores ?? Infinity) / secondsPerRequest,
				((linkMbps ?? Infinity) * bytesPerMegabit) / bytesPerRequest,
			);
