import type {ServerResponse} from 'node:http';

/**
Ends a response before it is complete, so that its receiver sees that.

A response without chunks, which callers of HTTP/1.0 receive, would be complete with an orderly close of its connection.
*/
export const abortResponse = (response: ServerResponse): void => {
	if (response.headersSent && !response.chunkedEncoding) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
