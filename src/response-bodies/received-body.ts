import type {BodyFraming} from './body-framing.ts';
import type {EventProgress} from './event-scanner.ts';

/**
A response body that has arrived so far.
*/
export type ReceivedBody = {
	readonly framing: BodyFraming;
	/**
	Set if the body is an event stream whose events are scanned.
	*/
	readonly events: EventProgress | undefined;
};

/**
Where the bytes of an event stream end.
*/
export type StreamTail =
	'before-first-event' | 'inside-event' | 'between-events';

/**
Returns where the bytes of an event stream end.
*/
export const streamTailOf = (events: EventProgress): StreamTail => {
	if (events.isInsideEvent()) {
		return 'inside-event';
	}

	return events.hasEvent() ? 'between-events' : 'before-first-event';
};
