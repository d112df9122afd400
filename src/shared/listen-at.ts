import type {Server} from 'node:net';
import {splitAddress, type Address} from './address.ts';

// Maximum number of connections that wait to be accepted; a full queue delays a caller by seconds.
const backlog = 1024;

/**
Makes a server listen. It may be called again after it has rejected.

@throws the error of the operating system if the address cannot be bound.
*/
export const listenAt = async (
	server: Server,
	address: Address,
): Promise<void> => {
	const {host, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		const onError = (error: Error) => {
			server.off('listening', onListening);
			reject(error);
		};

		const onListening = () => {
			server.off('error', onError);
			resolve();
		};

		server.once('error', onError);
		server.once('listening', onListening);
		server.listen(port, host, backlog);
	});
};
