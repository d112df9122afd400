import type {
	NodeCapacity,
	RegionLoad,
	ServerRequests,
} from '../demand/index.ts';
import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
Messages about the requests in flight at backend servers.
*/
export type DemandMessage =
	/**
	Requests of one node, sent to the node that adds up those of its zone.
	*/
	| {
			readonly kind: 'demand-node';
			/**
			Identifies the sending node.
			*/
			readonly from: string;
			readonly requests: readonly ServerRequests[];
	  }
	/**
	Requests of the nodes of one zone, sent to the other zones of the region.
	*/
	| {
			readonly kind: 'demand-zone';
			/**
			The availability zone.
			*/
			readonly from: string;
			readonly requests: readonly ServerRequests[];
	  }
	/**
	Requests of all nodes of the region, sent to the nodes of the sender's zone.
	*/
	| {
			readonly kind: 'demand-totals';
			readonly from: string;
			readonly requests: readonly ServerRequests[];
	  }
	/**
	Loads of regions, sent to other regions and to the nodes of the sender's zone.
	*/
	| {
			readonly kind: 'demand-regions';
			readonly from: string;
			readonly loads: readonly RegionLoad[];
	  }
	/**
	Capacities of nodes, sent to the node that collects those of its zone and by it to all nodes of the zone.
	*/
	| {
			readonly kind: 'node-capacities';
			readonly from: string;
			readonly capacities: readonly NodeCapacity[];
	  };

/**
Kinds of these messages, in the order of their indices on the wire.
*/
export const demandMessageKinds = [
	'demand-node',
	'demand-zone',
	'demand-totals',
	'demand-regions',
	'node-capacities',
] as const satisfies ReadonlyArray<DemandMessage['kind']>;

type Row = readonly unknown[];

/**
Encodes a message as one row per server or load; each row can be decoded on its own.
*/
export const encodeDemandRows = (message: DemandMessage): readonly Row[] => {
	switch (message.kind) {
		case 'demand-node':
		case 'demand-zone':
		case 'demand-totals': {
			return message.requests.map(({server, requests}) => [
				server,
				roundToTenth(requests),
			]);
		}

		case 'demand-regions': {
			return message.loads.map(({region, service, load, slots}) => [
				region,
				service,
				roundToTenth(load),
				slots,
			]);
		}

		case 'node-capacities': {
			return message.capacities.map(({node, capacity}) => [
				node,
				roundToTenth(capacity),
			]);
		}
	}
};

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeDemandRows = (
	kind: DemandMessage['kind'],
	from: string,
	rows: readonly Row[],
): DemandMessage => {
	switch (kind) {
		case 'demand-node':
		case 'demand-zone':
		case 'demand-totals': {
			const requests = rows.map(([server, count]) => ({
				server: checkString(server),
				requests: checkNonNegative(count),
			}));
			return {kind, from, requests};
		}

		case 'demand-regions': {
			const loads = rows.map(([region, service, load, slots]) => ({
				region: checkString(region),
				service: checkString(service),
				load: checkNonNegative(load),
				slots: checkNonNegative(slots),
			}));
			return {kind, from, loads};
		}

		case 'node-capacities': {
			const capacities = rows.map(([node, capacity]) => ({
				node: checkString(node),
				capacity: checkNonNegative(capacity),
			}));
			return {kind, from, capacities};
		}
	}
};

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;
