import type {EventProgress} from '../../response-bodies/index.ts';

/**
Maximum number of bytes of an event stream without a complete event. Engines send no longer events, and comments only to keep a
connection open.
*/
export const maximumBytesPerEvent = 1_048_576;

/**
Checks that an event stream delivers events, not only bytes.
*/
export type StreamProgress = {
	/**
	Records a chunk after its events were counted. Returns false if too many bytes have arrived since the last complete event.
	*/
	recordChunk(bytes: number): boolean;
};

/**
Creates the check of one response.
*/
export const createStreamProgress = (
	events: Pick<EventProgress, 'eventCount'>,
): StreamProgress => {
	let countBefore = events.eventCount();
	let bytesSinceEvent = 0;
	return {
		recordChunk(bytes) {
			const count = events.eventCount();
			bytesSinceEvent = count === countBefore ? bytesSinceEvent + bytes : 0;
			countBefore = count;
			return bytesSinceEvent <= maximumBytesPerEvent;
		},
	};
};
