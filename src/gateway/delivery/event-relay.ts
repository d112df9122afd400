import {Buffer} from 'node:buffer';
import {
	createEventScanner,
	type EventProgress,
} from '../../response-bodies/index.ts';

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
	Drops a partial event, so that a stream that continues this one can be read.
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

@param lastDelivered The ID of the last event that the receiver already has.
*/
export const createEventRelay = (
	lastDelivered: string | undefined,
): EventRelay => {
	let scanner = createEventScanner();
	let partial: Buffer[] = [];
	let lastId = lastDelivered;

	// Event IDs increase by one. Events that the receiver already has are skipped; a gap ends the stream.
	const classify = (event: Buffer): 'pass' | 'skip' | 'gap' => {
		const id = eventId(event);
		if (id === undefined) {
			return 'pass';
		}

		const last = lastId === undefined ? undefined : Number(lastId);
		if (last === undefined || Number.isNaN(last) || id === last + 1) {
			lastId = String(id);
			return 'pass';
		}

		return id <= last ? 'skip' : 'gap';
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
				const verdict = classify(event);
				if (verdict === 'gap') {
					return {bytes: concatenate(complete), isNextMissing: true};
				}

				if (verdict === 'pass') {
					complete.push(event);
				}

				start = end;
			}

			if (start < chunk.length) {
				partial.push(chunk.subarray(start));
			}

			return {bytes: concatenate(complete), isNextMissing: false};
		},
		restart() {
			scanner = createEventScanner();
			dropPartial();
		},
		lastEventId: () => lastId,
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
const eventId = (event: Buffer): number | undefined => {
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

const digitsAt = (event: Buffer, from: number): number | undefined => {
	const first = event[from] === space ? from + 1 : from;
	let value = 0;
	let at = first;
	for (; event[at]! >= digitZero && event[at]! <= digitNine; at += 1) {
		value = value * 10 + event[at]! - digitZero;
	}

	return at === first ? undefined : value;
};
