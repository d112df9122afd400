// A node that reads bodies over one link while its memory for them is limited.
import {createRandom} from '../../src/shared/index.ts';

/**
Ways to keep the bodies of requests within the memory of a node.

`none`: there is no limit. `declared`: the declared length is reserved before a body is read, and refused if it does not fit; a body without
one reserves the maximum once it is longer than a small one. `chunk`: each chunk is reserved as it arrives, and a body whose
next chunk does not fit is refused. `pause`: the connection is not read while its next chunk does not fit.
*/
export const memoryWays = ['none', 'declared', 'chunk', 'pause'] as const;

/**
A way to keep bodies within memory.
*/
export type MemoryWay = (typeof memoryWays)[number];

/**
What callers send beside small bodies: long ones at a steady rate, many at once, many at once without a declared length, or many at once over slow connections.
*/
export const memoryLoads = [
	'few',
	'flood',
	'undeclared flood',
	'slow flood',
] as const;

/**
A load of long bodies.
*/
export type MemoryLoad = (typeof memoryLoads)[number];

/**
What callers and the node saw.
*/
export type MemoryResult = {
	readonly peakMb: number;
	readonly smallServedFraction: number;
	/**
	Mean time from the first byte of a small body to its last one, in milliseconds.
	*/
	readonly smallReadMs: number;
	readonly longServedFraction: number;
	/**
	Refusals of long bodies, also of those that return.
	*/
	readonly refusals: number;
	/**
	Bytes of long bodies that were read for nothing, in MB.
	*/
	readonly wastedMb: number;
};

const stepMs = 5;
const lengthMs = 12_000;
const bytesPerMb = 1_048_576;
const limitBytes = 70 * bytesPerMb;
const smallPart = 0.25;
const linkBytesPerMs = 125_000;
const slowBytesPerMs = 400;
const smallBytes = 34_000;
const longBytes = 4_000_000;
const maximumBytes = 4_194_304;
const smallsPerSecond = 200;
const floodSize = 80;
const floodAtMs = 2000;
const smallDeadlineMs = 1000;
const longDeadlineMs = 6000;
const workMs = 40;
const retryMs = 500;

type Body = {
	readonly isSmall: boolean;
	readonly bytes: number;
	readonly isDeclared: boolean;
	readonly bytesPerMs: number;
	readonly sentAt: number;
	beganAt: number;
	read: number;
	reserved: number;
	/**
	When the node no longer holds it; undefined while it is read.
	*/
	doneAt: number | undefined;
};

const bodyOf = (
	change: Partial<Body> & Pick<Body, 'isSmall' | 'sentAt'>,
): Body => ({
	bytes: change.isSmall ? smallBytes : longBytes,
	isDeclared: true,
	bytesPerMs: linkBytesPerMs,
	beganAt: change.sentAt,
	read: 0,
	reserved: 0,
	doneAt: undefined,
	...change,
});

const arrivalsOf = (load: MemoryLoad): readonly Body[] => {
	const random = createRandom(1);
	const smalls = Array.from({length: (smallsPerSecond * lengthMs) / 1000}, () =>
		bodyOf({isSmall: true, sentAt: random.below(lengthMs)}),
	);
	const longs = Array.from({length: floodSize}, (_, index) =>
		bodyOf({
			isSmall: false,
			sentAt: load === 'few' ? index * 100 : floodAtMs,
			isDeclared: load !== 'undeclared flood',
			bytesPerMs: load === 'slow flood' ? slowBytesPerMs : linkBytesPerMs,
		}),
	);
	return [...smalls, ...longs].toSorted(
		(left, right) => left.sentAt - right.sentAt,
	);
};

// What a body must have reserved before it may hold `read` bytes.
const neededFor = (way: MemoryWay, body: Body, read: number): number => {
	switch (way) {
		case 'none': {
			return 0;
		}

		case 'declared': {
			if (body.isDeclared) {
				return body.bytes;
			}

			return read <= 65_536 ? 65_536 : 2 * maximumBytes;
		}

		case 'chunk':
		case 'pause': {
			return read;
		}
	}
};

/**
Plays one load with one way.
*/
export const playRequestMemory = (
	way: MemoryWay,
	load: MemoryLoad,
): MemoryResult => {
	const waiting = [...arrivalsOf(load)];
	let open: Body[] = [];
	let reserved = 0;
	let peak = 0;
	let refusals = 0;
	let wasted = 0;
	let smallReadMs = 0;
	const served = {small: 0, long: 0};
	const total = {
		small: waiting.filter(({isSmall}) => isSmall).length,
		long: waiting.filter(({isSmall}) => !isSmall).length,
	};

	const hasReserved = (body: Body, bytes: number): boolean => {
		const part = body.isSmall ? 1 : 1 - smallPart;
		const more = bytes - body.reserved;
		if (more > 0 && reserved + more > limitBytes * part) {
			return false;
		}

		reserved += Math.max(0, more);
		body.reserved = Math.max(body.reserved, bytes);
		return true;
	};

	const drop = (body: Body) => {
		reserved -= body.reserved;
		body.reserved = 0;
	};

	const refuse = (body: Body, now: number) => {
		drop(body);
		refusals += 1;
		wasted += body.isSmall ? 0 : body.read;
		const deadlineMs = body.isSmall ? smallDeadlineMs : longDeadlineMs;
		const again = now + retryMs;
		if (again - body.sentAt > deadlineMs) {
			return;
		}

		const next = {...body, beganAt: again, read: 0};
		const index = waiting.findIndex(({beganAt}) => beganAt > again);
		waiting.splice(index === -1 ? waiting.length : index, 0, next);
	};

	const finish = (body: Body, now: number) => {
		body.doneAt = now + workMs;
		served[body.isSmall ? 'small' : 'long'] += 1;
		smallReadMs += body.isSmall ? now - body.sentAt : 0;
	};

	// Returns whether the body stays open.
	const isStillOpen = (body: Body, share: number, now: number): boolean => {
		if (body.doneAt !== undefined) {
			if (body.doneAt <= now) {
				drop(body);
			}

			return body.doneAt > now;
		}

		const deadlineMs = body.isSmall ? smallDeadlineMs : longDeadlineMs;
		if (now - body.sentAt > deadlineMs) {
			drop(body);
			wasted += body.isSmall ? 0 : body.read;
			return false;
		}

		const rate = Math.min(body.bytesPerMs, share);
		const read = Math.min(body.bytes, body.read + rate * stepMs);
		if (!hasReserved(body, neededFor(way, body, read))) {
			if (way !== 'pause') {
				refuse(body, now);
			}

			return way === 'pause';
		}

		body.read = read;
		if (read === body.bytes) {
			finish(body, now);
		}

		return true;
	};

	for (let now = 0; now < lengthMs + longDeadlineMs; now += stepMs) {
		while (waiting[0] && waiting[0].beganAt <= now) {
			open.push(waiting.shift()!);
		}

		const reading = open.filter(({doneAt}) => doneAt === undefined).length;
		const share = linkBytesPerMs / Math.max(1, reading);
		open = open.filter((body) => isStillOpen(body, share, now));
		const held = open.map(({read, isDeclared}) => (isDeclared ? 1 : 2) * read);
		peak = Math.max(
			peak,
			held.reduce((sum, each) => sum + each, 0),
		);
	}

	return {
		peakMb: peak / bytesPerMb,
		smallServedFraction: served.small / total.small,
		smallReadMs: smallReadMs / served.small,
		longServedFraction: served.long / total.long,
		refusals,
		wastedMb: wasted / bytesPerMb,
	};
};
