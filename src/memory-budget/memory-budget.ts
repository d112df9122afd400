import type {Logger} from '../logging/index.ts';
import {createHoldTime} from './hold-time.ts';

/**
Memory that is set aside for one body.
*/
export type Reservation = {
	/**
	Sets more aside, so that the reservation has the given size. If there is no room, returns the time until there is, in milliseconds.
	*/
	growTo(bytes: number): number | undefined;
	/**
	Records that bytes of the body have arrived.
	*/
	progress(): void;
	/**
	Records that the whole body has arrived. It does not give way any more.
	*/
	complete(): void;
	/**
	Must be called when the body is no longer held. Calling it again has no effect.
	*/
	release(): void;
};

/**
Result of a request for memory.
*/
export type ReservationResult =
	| {readonly kind: 'reserved'; readonly reservation: Reservation}
	/**
	There will be room in `retryAfterMs` milliseconds, if bodies are held as long as of late.
	*/
	| {readonly kind: 'no-room'; readonly retryAfterMs: number};

/**
Limits the memory that a node takes for the bodies of requests. Whoever has reserved can finish, and a body that does not fit is refused
before it is read.
*/
export type MemoryBudget = {
	/**
	Sets memory aside.

	@param bytes Size of the body.
	@param evict Called if the body has not made progress for `stallMs` and another one needs the memory. It is released then.
	*/
	reserve(bytes: number, evict: () => void): ReservationResult;
	/**
	Returns the memory that is reserved, in bytes.
	*/
	reservedBytes(): number;
	/**
	Returns the number of bodies that were refused.
	*/
	refusals(): number;
};

/**
Options of `createMemoryBudget`.
*/
export type MemoryBudgetOptions = {
	readonly limitBytes: number;
	/**
	Returns the memory that is held for other purposes and counts against the limit, in bytes.
	*/
	readonly otherBytes: () => number;
	/**
	Milliseconds of a monotonic clock.
	*/
	readonly clock: () => number;
	readonly logger: Logger;
};

/**
Maximum size of a small body, in bytes. A body without a declared length reserves this much first.
*/
export const smallBodyBytes = 65_536;

/**
Part of the memory that only small bodies may use, so that they are not refused for long ones.
*/
export const smallBodiesPart = 0.25;

/**
Time without progress after which a body gives way to another one, in milliseconds.
*/
export const stallMs = 5000;

/**
Longest time after which a refused caller is asked to return, in milliseconds.
*/
export const maximumRetryMs = 10_000;

const minimumRetryMs = 50;
// Stalled bodies are looked for at most once in this time, in milliseconds.
const evictionIntervalMs = 100;
// Part of the memory below which requests count as no longer refused.
const recoveredPart = 0.5;

type Held = {
	bytes: number;
	progressAt: number;
	readonly reservedAt: number;
	readonly evict: () => void;
};

/**
Creates an unused budget.
*/
export const createMemoryBudget = ({
	limitBytes,
	otherBytes,
	clock,
	logger,
}: MemoryBudgetOptions): MemoryBudget => {
	const held = new Set<Held>();
	const holdTime = createHoldTime();
	let reserved = 0;
	let refusals = 0;
	let isRefusing = false;
	let lookForStalledAt = 0;
	// When the memory that refused callers were told of is taken.
	let promisedUntil = 0;

	const roomFor = (bytes: number): number => {
		const part = bytes <= smallBodyBytes ? 1 : 1 - smallBodiesPart;
		return limitBytes * part - reserved - otherBytes();
	};

	const logRecovery = () => {
		if (!isRefusing || reserved + otherBytes() > limitBytes * recoveredPart) {
			return;
		}

		isRefusing = false;
		logger.info(
			{reservedBytes: reserved, limitBytes, refusals},
			'requests are no longer refused for want of memory',
		);
	};

	const release = (body: Held) => {
		if (!held.delete(body)) {
			return;
		}

		reserved -= body.bytes;
		if (body.bytes > smallBodyBytes) {
			holdTime.record(clock() - body.reservedAt);
		}

		logRecovery();
	};

	const evictStalled = (now: number) => {
		if (now < lookForStalledAt) {
			return;
		}

		lookForStalledAt = now + evictionIntervalMs;
		for (const body of held) {
			if (now - body.progressAt < stallMs) {
				continue;
			}

			release(body);
			body.evict();
		}
	};

	// Refused callers are asked to return one after the other, as fast as full memory is released.
	const retryAfterMs = (bytes: number, now: number): number => {
		const bytesPerMs =
			(limitBytes * (1 - smallBodiesPart)) / Math.max(1, holdTime.meanMs());
		const latest = now + maximumRetryMs;
		promisedUntil = Math.min(
			latest,
			Math.max(now, promisedUntil) + bytes / bytesPerMs,
		);
		return Math.max(minimumRetryMs, promisedUntil - now);
	};

	const refuse = (bytes: number, now: number): number => {
		refusals += 1;
		const waitMs = retryAfterMs(bytes, now);
		if (!isRefusing) {
			isRefusing = true;
			logger.warn(
				{
					bytes,
					reservedBytes: reserved,
					otherBytes: otherBytes(),
					limitBytes,
					retryAfterMs: Math.round(waitMs),
				},
				'requests are refused for want of memory',
			);
		}

		return waitMs;
	};

	// Returns the time until there is room if there is none.
	const take = (bytes: number, size: number): number | undefined => {
		const now = clock();
		// A body that is longer than the limit is read if it is the only one, because it would never fit.
		const hasRoom = () => roomFor(size) >= bytes || reserved === size - bytes;
		if (!hasRoom()) {
			evictStalled(now);
		}

		if (!hasRoom()) {
			return refuse(bytes, now);
		}

		reserved += bytes;
		return undefined;
	};

	return {
		reserve(bytes, evict) {
			const waitMs = take(bytes, bytes);
			if (waitMs !== undefined) {
				return {kind: 'no-room', retryAfterMs: waitMs};
			}

			const now = clock();
			const body: Held = {bytes, progressAt: now, reservedAt: now, evict};
			held.add(body);
			return {
				kind: 'reserved',
				reservation: {
					growTo(size) {
						if (!held.has(body) || size <= body.bytes) {
							return undefined;
						}

						const noRoomMs = take(size - body.bytes, size);
						if (noRoomMs === undefined) {
							body.bytes = size;
						}

						return noRoomMs;
					},
					progress() {
						body.progressAt = clock();
					},
					complete() {
						body.progressAt = Infinity;
					},
					release() {
						release(body);
					},
				},
			};
		},
		reservedBytes: () => reserved,
		refusals: () => refusals,
	};
};
