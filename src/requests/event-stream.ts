import type {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';

/**
Result of parsing a chunk of an engine's event stream.
*/
export type StreamPiece =
	| {
			readonly kind: 'events';
			readonly text: string;
			readonly tokens: number;
			readonly isEnd: boolean;
	  }
	| {readonly kind: 'fault'; readonly message: string};

/**
 Parses and checks an engine's event stream for one attempt.
 
 Each event carries `ATTEMPT:INDEX` as its id. Events of another attempt and gaps in
 the index are faults; events that the caller already has are dropped. The ids are
 removed, because they mean nothing to the caller.
 */
export type EventStreamReader = {
	/**
	Parses the next bytes.
	*/
	push(chunk: Buffer): StreamPiece;
	/**
	Tokens delivered so far, including those of earlier attempts.
	*/
	delivered(): number;
	/**
	Whether the event that ends the stream has been read.
	*/
	hasEnded(): boolean;
};

/**
Data of the event that ends a stream.
*/
export const endMark = '[DONE]';

/**
Index of the event that ends a stream.
*/
export const endIndex = 'end';

const maximumPendingLength = 1_048_576;
const idField = 'id: ';
const dataField = 'data: ';

/**
Creates a reader for an attempt that resumes after `alreadyDelivered` tokens.
*/
export const createEventStreamReader = (
	attemptId: string,
	alreadyDelivered: number,
): EventStreamReader => {
	const decoder = new StringDecoder('utf8');
	const prefix = `${idField}${attemptId}:`;
	let pending = '';
	let delivered = alreadyDelivered;
	let hasEnded = false;

	const isDone = () => hasEnded;

	const readEvent = (event: string): StreamPiece => {
		if (!event.startsWith(prefix)) {
			return {kind: 'fault', message: 'an event belongs to another attempt'};
		}

		const lineEnd = event.indexOf('\n');
		const index = event.slice(prefix.length, lineEnd);
		const data = event.slice(lineEnd + 1);
		if (lineEnd === -1 || !data.startsWith(dataField)) {
			return {kind: 'fault', message: 'an event has no data'};
		}

		return index === endIndex ? readEnd(data) : readToken(Number(index), data);
	};

	const readEnd = (data: string): StreamPiece => {
		hasEnded = true;
		return {kind: 'events', text: `${data}\n\n`, tokens: 0, isEnd: true};
	};

	const readToken = (index: number, data: string): StreamPiece => {
		if (index < delivered) {
			return {kind: 'events', text: '', tokens: 0, isEnd: false};
		}

		if (index !== delivered) {
			return {kind: 'fault', message: `event ${delivered} is missing`};
		}

		delivered += 1;
		return {kind: 'events', text: `${data}\n\n`, tokens: 1, isEnd: false};
	};

	return {
		push(chunk) {
			pending += decoder.write(chunk);
			let text = '';
			let tokens = 0;
			let start = 0;
			for (
				let end = pending.indexOf('\n\n');
				!isDone() && end >= 0;
				end = pending.indexOf('\n\n', start)
			) {
				const piece = readEvent(pending.slice(start, end));
				if (piece.kind === 'fault') {
					// The events before the fault are valid and counted as delivered, so they are returned first.
					return text === '' ? piece : rememberFault(text, tokens);
				}

				text += piece.text;
				tokens += piece.tokens;
				start = end + 2;
			}

			pending = pending.slice(start);
			return pending.length > maximumPendingLength
				? {kind: 'fault', message: 'an event is too long'}
				: {kind: 'events', text, tokens, isEnd: hasEnded};
		},
		delivered: () => delivered,
		hasEnded: isDone,
	};

	// Leaves an invalid event in `pending`, so that the next call reports the fault.
	function rememberFault(text: string, tokens: number): StreamPiece {
		pending = `${idField}\n\n`;
		return {kind: 'events', text, tokens, isEnd: false};
	}
};
