// Drops an answer that nobody will read.
import type {Readable} from 'node:stream';

/**
Ends an answer unread.

An unread answer that is destroyed reports an error, and an error that nobody listens to ends the process.
*/
export const discardBody = (body: Readable): void => {
	body.on('error', () => undefined);
	body.destroy();
};
