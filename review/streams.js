/* eslint-disable jsdoc/require-param -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// How workers run streams: the request names in `X-Test-Stream` the number of events, the milliseconds between them and, if it is not
// one, by how much their ids rise.

/**
Streams events with rising ids, from the one after `Last-Event-Id`.
*/
export const streamEvents = ({request, response, signed, end}) => {
	const [events, eventMs, step = 1] = request.headers['x-test-stream']
		.split(',')
		.map(Number);
	// Events made so far; with the ids of a stream that is taken up.
	let made = Number(request.headers['last-event-id'] ?? 0) / step;
	response.writeHead(200, {...signed, 'Content-Type': 'text/event-stream'});
	const timer = setInterval(() => {
		made += 1;
		response.write(`id: ${made * step}\ndata: event ${made} of ${events}\n\n`);
		if (made < events) {
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
