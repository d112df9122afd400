import type {Buffer} from 'node:buffer';

/**
What is known of the events of a stream so far.
*/
export type EventProgress = {
	/**
	Whether the bytes so far end inside an event or a line.
	*/
	isInsideEvent(): boolean;
	/**
	Whether an event is complete.
	*/
	hasEvent(): boolean;
	/**
	Returns the number of complete events.
	*/
	eventCount(): number;
};

/**
Finds the boundaries of the events of a `text/event-stream`, whose lines may end with LF, CRLF or CR.
*/
export type EventScanner = EventProgress & {
	/**
	Scans the bytes from an index up to the next point that lies outside an event: after the empty line that ends one, or after a
	line that belongs to none. Returns the index after it, or -1 if the bytes end before. Every byte must be scanned once.
	*/
	nextBoundary(bytes: Buffer, from: number): number;
	/**
	Scans a whole chunk.
	*/
	scan(chunk: Buffer): void;
};

const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;

/**
Creates a scanner for one stream.
*/
export const createEventScanner = (): EventScanner => {
	let line: 'empty' | 'comment' | 'field' = 'empty';
	let isEventOpen = false;
	let isAfterCarriageReturn = false;
	let eventCount = 0;

	const beginLine = (byte: number) => {
		line = byte === colon ? 'comment' : 'field';
		isEventOpen ||= line === 'field';
	};

	const endLine = () => {
		if (line === 'empty' && isEventOpen) {
			isEventOpen = false;
			eventCount += 1;
		}

		line = 'empty';
	};

	const nextBoundary = (bytes: Buffer, from: number): number => {
		for (let index = from; index < bytes.length; index += 1) {
			const byte = bytes[index]!;
			if (byte !== lineFeed && byte !== carriageReturn) {
				if (line === 'empty') {
					beginLine(byte);
				}

				isAfterCarriageReturn = false;
				index = endOfLine(bytes, index + 1) - 1;
				continue;
			}

			const isSecondOfPair = isAfterCarriageReturn && byte === lineFeed;
			isAfterCarriageReturn = byte === carriageReturn;
			if (!isSecondOfPair) {
				endLine();
			}

			if (!isEventOpen) {
				return index + 1;
			}
		}

		return -1;
	};

	return {
		nextBoundary,
		scan(chunk) {
			let from = 0;
			while (from !== -1) {
				from = nextBoundary(chunk, from);
			}
		},
		isInsideEvent: () => isEventOpen || line !== 'empty',
		hasEvent: () => eventCount > 0,
		eventCount: () => eventCount,
	};
};

const endOfLine = (bytes: Buffer, from: number): number => {
	let index = from;
	while (
		index < bytes.length &&
		bytes[index] !== lineFeed &&
		bytes[index] !== carriageReturn
	) {
		index += 1;
	}

	return index;
};
