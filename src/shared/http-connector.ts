import {buildConnector} from 'undici';

const resetCode = 'ECONNRESET';

/**
Creates the connector of an HTTP client, with a connect time-out in milliseconds.

Undici takes the reset of a response without a length for its end. With another error code it fails the call.
*/
export const createHttpConnector = (
	timeoutMs: number,
): buildConnector.connector => {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (error, socket) => {
			if (error) {
				callback(error, null);
				return;
			}

			// This listener runs before that of undici.
			socket.on('error', (failure: NodeJS.ErrnoException) => {
				if (failure.code === resetCode) {
					failure.code = 'ERR_CONNECTION_RESET_BY_PEER';
				}
			});
			callback(null, socket);
		});
	};
};
