import type {Readable} from 'node:stream';

/**
How long the rest of a refused request is read at most, in milliseconds: a body of the size that is
taken, over a slow link.
*/
export const discardMs = 1000;

/**
Reads on what a sender still sends, for nothing; resolves when it has ended, or after `discardMs`.

A connection that is closed while the sender still writes is reset, and the sender may never see why it
was refused.
*/
export const discardRemainingBody = async (request: Readable): Promise<void> =>
	new Promise((resolve) => {
		const finish = () => {
			clearTimeout(timer);
			resolve();
		};

		const timer = setTimeout(finish, discardMs);
		for (const event of ['end', 'close', 'error']) {
			request.once(event, finish);
		}

		request.resume();
	});
