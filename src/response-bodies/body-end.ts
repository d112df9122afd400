import {assertNever} from '../shared/index.ts';
import type {ReceivedBody} from './received-body.ts';

/**
Whether a response body that has ended is complete.
*/
export type BodyEnd =
	| {readonly kind: 'complete'}
	| {readonly kind: 'broken'; readonly reason: string};

/**
Decides whether a body is complete after its HTTP client has reported its end.

A client fails a call itself if a body is shorter than its length, lacks its last chunk or is reset. That leaves bodies that end with an
orderly close of their connection. One with events is complete between two events, but not before its first one. Of any other nothing
shows whether it is complete, so it counts as such (RFC 9112, section 8).
*/
export const judgeBodyEnd = ({framing, events}: ReceivedBody): BodyEnd => {
	if (events?.isInsideEvent()) {
		return {
			kind: 'broken',
			reason: 'The stream ended in the middle of an event',
		};
	}

	switch (framing) {
		case 'none':
		case 'length':
		case 'chunked': {
			return {kind: 'complete'};
		}

		case 'close': {
			return events && !events.hasEvent()
				? {
						kind: 'broken',
						reason: 'The connection closed before the first event',
					}
				: {kind: 'complete'};
		}

		default: {
			return assertNever(framing);
		}
	}
};
