import type {UpstreamHead} from '../backends/index.ts';

/**
How the end of a response body is marked (RFC 9112, section 6.3). `none`: there is no body, so the head is the whole response.
`close`: the body ends with its connection.
*/
export type BodyFraming = 'none' | 'length' | 'chunked' | 'close';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Returns how the body of a final response is framed, from the method of the request and the head of the response.
*/
export const bodyFramingOf = (
	method: string,
	{status, header}: Pick<UpstreamHead, 'status' | 'header'>,
): BodyFraming => {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return 'none';
	}

	const codings = header('transfer-encoding');
	if (codings !== undefined) {
		const [last = ''] = codings.split(',').slice(-1);
		return last.trim().toLowerCase() === 'chunked' ? 'chunked' : 'close';
	}

	return header('content-length') === undefined ? 'close' : 'length';
};
