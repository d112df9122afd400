/* eslint-disable jsdoc/require-param -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// How workers run streams: the request names the number of events and the milliseconds between them in `X-Test-Stream`.

/**
Streams events with rising ids, from the one after `Last-Event-Id`.
*/
export const streamEvents = ({request, response, signed, end}) => {
	const [events, eventMs] = request.headers['x-test-stream']
		.split(',')
		.map(Number);
	let last = Number(request.headers['last-event-id'] ?? 0);
	response.writeHead(200, {...signed, 'Content-Type': 'text/event-stream'});
	const timer = setInterval(() => {
		last += 1;
		response.write(`id: ${last}\ndata: event ${last} of ${events}\n\n`);
		if (last < events) {
			return;
		}

		clearInterval(timer);
		response.end();
		end();
	}, eventMs);
	response.once('close', () => {
		clearInterval(timer);
		end();
	});
};
