import type {ServerResponse} from 'node:http';
import type {ResponseSink} from '../exchange.ts';
import {encodeHopResult} from '../delivery/index.ts';
import {createResponseSink} from './caller-listener.ts';

/**
Creates a sink for the response to a forwarded request. Its headers report to the forwarding node how the
request ended here.
*/
export const createHopSink = (response: ServerResponse): ResponseSink => {
	const sink = createResponseSink(response, () => false);
	return {
		...sink,
		begin(status, headers, server) {
			const result = {
				kind: 'answered',
				tried: server === '' ? [] : [server],
			} as const;
			sink.begin(status, [...headers, ...encodeHopResult(result)], server);
		},
		refuse({kind, outcome, message}, tried, availableInMs) {
			if (response.headersSent || response.destroyed) {
				sink.abort();
				return;
			}

			response.writeHead(503, [
				...encodeHopResult({
					kind: 'refused',
					outcome,
					reason: message,
					tried,
					availableInMs,
					isLeaving: kind === 'leaving',
				}),
				'content-length',
				'0',
			]);
			response.end();
		},
	};
};
