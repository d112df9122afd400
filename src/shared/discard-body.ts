// Discards response bodies that are not needed.
import type {Readable} from 'node:stream';

/**
Destroys a response body without reading it.

Destroying an unread body emits an `error` event, and without a listener that event would terminate the process.
*/
export const discardBody = (body: Readable): void => {
	body.on('error', () => undefined);
	body.destroy();
};
