import type {Server} from 'node:http';

/**
Closes a server and its connections.
*/
export const closeServer = async (server: Server): Promise<void> =>
	new Promise((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
