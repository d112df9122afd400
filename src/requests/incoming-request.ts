import type {Buffer} from 'node:buffer';
/**
An HTTP request as received from a caller.
*/
export type IncomingRequest = {
	readonly method: string;
	/**
	Path and query.
	*/
	readonly url: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Buffer;
	/**
	Aborts when the caller closes the connection.
	*/
	readonly signal: AbortSignal;
};

/**
Returns the value of a header; the values of a repeated header are joined by commas.
*/
export const headerOf = (
	request: IncomingRequest,
	name: string,
): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
};

/**
Returns the path without the query.
*/
export const pathOf = ({url}: IncomingRequest): string => url.split('?', 1)[0]!;

/**
Names of the request headers that the gateway reads.
*/
export const requestHeaders = {
	requestId: 'x-request-id',
	labels: 'x-quillford-labels',
	home: 'x-quillford-home',
	residency: 'x-quillford-residency',
	repeatable: 'x-quillford-repeatable',
	priority: 'x-quillford-priority',
	deadline: 'x-quillford-deadline-ms',
	session: 'x-quillford-session',
} as const;
