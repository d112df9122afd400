const eventStreamType = 'text/event-stream';

/**
Whether the body of a response to a streaming route is an event stream, according to its `Content-Type`. Servers may omit the header.
*/
export const isEventStream = (contentType: string | undefined): boolean => {
	const [type = ''] = (contentType ?? eventStreamType).split(';', 1);
	return type.trim().toLowerCase() === eventStreamType;
};
