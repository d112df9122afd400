import type {StreamNumbering} from './event-order.ts';

/**
A service and a version of its software whose event ids rise by more than one.
*/
export type SparseEventIds = {
	readonly service: string;
	/**
	Undefined if another node has relayed the stream without naming it.
	*/
	readonly softwareVersion: string | undefined;
	/**
	The id by which it was found.
	*/
	readonly id: bigint;
};

/**
What this node has seen of how the servers of services number the events of their streams.
*/
export type EventNumbering = {
	of(service: string, softwareVersion: string | undefined): StreamNumbering;
};

/**
Maximum number of services and versions that are remembered. The oldest is dropped first, and found again with its next streams.
*/
export const maximumSparseServices = 256;

/**
Creates the memory of one node.

@param onSparse Called when a service and version is found.
*/
export const createEventNumbering = (
	onSparse: (sparse: SparseEventIds) => void,
): EventNumbering => {
	const sparse = new Set<string>();

	return {
		of(service, softwareVersion) {
			const key = JSON.stringify([service, softwareVersion]);
			return {
				isSparse: () => sparse.has(key),
				recordSparse(id) {
					if (sparse.has(key)) {
						return;
					}

					sparse.add(key);
					onSparse({service, softwareVersion, id});
					const [oldest] = sparse;
					if (sparse.size > maximumSparseServices) {
						sparse.delete(oldest!);
					}
				},
			};
		},
	};
};
