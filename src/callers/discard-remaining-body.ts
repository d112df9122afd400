import type {Readable} from 'node:stream';

/**
Maximum time for reading the remaining body of a rejected request, in milliseconds. It suffices for a body of the
maximum size over a slow link.
*/
export const discardTimeoutMs = 1000;

/**
Reads and discards the remaining body of a request. It resolves when the body has ended or after `discardTimeoutMs`.

Closing a connection while the sender is still writing resets it, and the sender may not receive the error
response.
*/
export const discardRemainingBody = async (request: Readable): Promise<void> =>
	new Promise((resolve) => {
		const finish = () => {
			clearTimeout(timer);
			resolve();
		};

		const timer = setTimeout(finish, discardTimeoutMs);
		for (const event of ['end', 'close', 'error']) {
			request.once(event, finish);
		}

		request.resume();
	});
