import type {ServerResponse} from 'node:http';

/**
Counts the responses that have not been written to their end.
*/
export type OpenResponses = {
	add(response: ServerResponse): void;
	count(): number;
};

/**
Creates a count of zero.
*/
export const createOpenResponses = (): OpenResponses => {
	const open = new Set<ServerResponse>();
	return {
		add(response) {
			if (response.destroyed) {
				return;
			}

			open.add(response);
			// Emitted once the last byte was handed to the operating system, or when the connection is gone.
			response.once('close', () => {
				open.delete(response);
			});
		},
		count: () => open.size,
	};
};
