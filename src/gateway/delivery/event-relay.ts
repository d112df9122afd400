import {Buffer} from 'node:buffer';
import {
	createEventScanner,
	type EventProgress,
} from '../../response-bodies/index.ts';
import {
	createEventOrder,
	type EventVerdict,
	type StreamNumbering,
} from './event-order.ts';

/**
Events that can be relayed, and whether one is missing after them; the response must not be relayed any further then.
*/
export type RelayedEvents = {
	readonly bytes: Buffer;
	readonly isNextMissing: boolean;
};

/**
Relays the complete events of a resumable stream.
*/
export type EventRelay = {
	/**
	Adds a chunk and returns the events that can be relayed now.
	*/
	push(chunk: Buffer): RelayedEvents;
	/**
	Returns the events that are still held once a response has ended as its server meant it to.
	*/
	end(): RelayedEvents;
	/**
	Drops a partial event and those that are held, so that a stream that continues this one can be read.
	*/
	restart(): void;
	/**
	Returns the ID of the last event that was relayed.
	*/
	lastEventId(): string | undefined;
	/**
	The events since the start or the latest restart.
	*/
	progress(): EventProgress;
};

const lineFeed = 10;
const carriageReturn = 13;

/**
Creates a relay for one stream.

@param lastDelivered Id of the last event that the receiver already has.
@param numbering How the servers of the service number events.
*/
export const createEventRelay = (
	lastDelivered: string | undefined,
	numbering: StreamNumbering,
): EventRelay => {
	let scanner = createEventScanner();
	let partial: Buffer[] = [];
	let held: Buffer[] = [];
	const order = createEventOrder(parseId(lastDelivered), numbering);

	// Adds the events that can be relayed now to `relayed`.
	const take = (event: Buffer, relayed: Buffer[]): EventVerdict => {
		const id = eventId(event);
		const verdict = id === undefined ? 'pass' : order.judge(id);
		switch (verdict) {
			case 'hold': {
				held.push(event);
				break;
			}

			case 'pass': {
				// An event without an id stays behind the one that is held.
				(held.length > 0 ? held : relayed).push(event);
				break;
			}

			case 'release': {
				relayed.push(...held, event);
				held = [];
				break;
			}

			case 'skip':
			case 'missing': {
				break;
			}
		}

		return verdict;
	};

	const completeWith = (last: Buffer): Buffer => {
		if (partial.length === 0) {
			return last;
		}

		const event = Buffer.concat([...partial, last]);
		dropPartial();
		return event;
	};

	const dropPartial = () => {
		partial = [];
	};

	return {
		push(chunk) {
			const complete: Buffer[] = [];
			let start = 0;
			for (
				let end = scanner.nextBoundary(chunk, start);
				end !== -1;
				end = scanner.nextBoundary(chunk, start)
			) {
				const event = completeWith(chunk.subarray(start, end));
				if (take(event, complete) === 'missing') {
					return {bytes: concatenate(complete), isNextMissing: true};
				}

				start = end;
			}

			if (start < chunk.length) {
				partial.push(chunk.subarray(start));
			}

			return {bytes: concatenate(complete), isNextMissing: false};
		},
		end() {
			const isNextMissing = order.endResponse() === 'missing';
			const bytes = concatenate(isNextMissing ? [] : held);
			held = [];
			return {bytes, isNextMissing};
		},
		restart() {
			scanner = createEventScanner();
			dropPartial();
			held = [];
			order.beginResponse();
		},
		lastEventId: () => order.lastId()?.toString() ?? lastDelivered,
		progress: () => scanner,
	};
};

const concatenate = (events: readonly Buffer[]): Buffer =>
	events.length === 1 ? events[0]! : Buffer.concat(events);

const idField = Buffer.from('id:');
const space = 32;
const digitZero = 48;
const digitNine = 57;

// Parses the bytes: with a regular expression over the decoded text, a stream of 40 events took 9.7 ms of CPU time
// instead of 8.7 ms.
const eventId = (event: Buffer): bigint | undefined => {
	for (
		let at = event.indexOf(idField);
		at !== -1;
		at = event.indexOf(idField, at + 1)
	) {
		const isLineStart =
			at === 0 ||
			event[at - 1] === lineFeed ||
			event[at - 1] === carriageReturn;
		const id = isLineStart ? digitsAt(event, at + idField.length) : undefined;
		if (id !== undefined) {
			return id;
		}
	}

	return undefined;
};

// Longer numbers may not be exact as a `number`.
const exactDigits = 15;

const digitsAt = (event: Buffer, from: number): bigint | undefined => {
	const first = event[from] === space ? from + 1 : from;
	let value = 0;
	let at = first;
	for (; event[at]! >= digitZero && event[at]! <= digitNine; at += 1) {
		value = value * 10 + event[at]! - digitZero;
	}

	if (at === first) {
		return undefined;
	}

	return BigInt(
		at - first > exactDigits ? event.toString('latin1', first, at) : value,
	);
};

const parseId = (text: string | undefined): bigint | undefined =>
	text !== undefined && /^\d+$/v.test(text) ? BigInt(text) : undefined;
