import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	smallBodyBytes,
	type MemoryBudget,
	type Reservation,
} from '../../memory-budget/index.ts';
import {createByteCollector} from '../../shared/index.ts';

/**
The body of a request.
*/
export type RequestBody =
	| {readonly kind: 'whole'; readonly bytes: Buffer | undefined}
	| {readonly kind: 'too-large'}
	/**
	The node has no memory for it, and will have in `retryAfterMs` milliseconds. What arrives of it is dropped.
	*/
	| {readonly kind: 'no-room'; readonly retryAfterMs: number};

/**
Limits that apply to a body.
*/
export type BodyLimits = {
	readonly maximumBytes: number;
	readonly memory: Pick<MemoryBudget, 'reserve'>;
};

// Maximum size for which a body without a declared length reserves memory.
const maximumUndeclaredBytes = 16_777_216;

/**
Reads a whole body. Its memory is reserved until the response is closed.

@param request The request, of which nothing has been read.
@param response The response, whose close ends the reservation.
@param limits How much is read, and where its memory is reserved.
@param limits.maximumBytes Maximum length.
@param limits.memory The memory that bodies may take.
@param done Called once, before the body has arrived if there is no memory for it; not called when the sender aborts.
*/
export const readRequestBody = (
	request: IncomingMessage,
	response: ServerResponse,
	{maximumBytes, memory}: BodyLimits,
	done: (body: RequestBody) => void,
): void => {
	const expectedBytes = expectedLengthOf(request, maximumBytes);
	const collector = createByteCollector(expectedBytes);
	let isDone = false;
	let size = 0;

	const finish = (body: RequestBody) => {
		if (isDone) {
			return;
		}

		isDone = true;
		done(body);
	};

	const refuse = (body: Extract<RequestBody, {kind: 'no-room'}>) => {
		collector.clear();
		finish(body);
	};

	// Returns undefined if there is no memory for the body.
	const reserve = (): Reservation | undefined => {
		const result = memory.reserve(
			expectedBytes ?? Math.min(smallBodyBytes, maximumBytes),
			() => {
				request.destroy();
			},
		);
		switch (result.kind) {
			case 'reserved': {
				response.once('close', result.reservation.release);
				return result.reservation;
			}

			case 'no-room': {
				refuse(result);
				return undefined;
			}
		}
	};

	const reservation = expectedBytes === 0 ? undefined : reserve();

	// The parts of a body without a declared length are joined while they arrive, which takes its memory twice.
	const growReservation = (): number | undefined =>
		expectedBytes !== undefined || size <= smallBodyBytes
			? undefined
			: reservation?.growTo(2 * Math.min(maximumBytes, maximumUndeclaredBytes));

	const collect = (chunk: Buffer) => {
		size += chunk.length;
		if (isDone || size > maximumBytes) {
			return;
		}

		const retryAfterMs = growReservation();
		if (retryAfterMs !== undefined) {
			reservation?.release();
			refuse({kind: 'no-room', retryAfterMs});
			return;
		}

		collector.add(chunk);
		reservation?.progress();
	};

	if (reservation) {
		request.on('data', collect);
	} else {
		request.resume();
	}

	request.on('end', () => {
		reservation?.complete();
		finish(
			size > maximumBytes
				? {kind: 'too-large'}
				: {kind: 'whole', bytes: size === 0 ? undefined : collector.bytes()},
		);
	});
	// A sender that aborts gets no response, because its connection is gone.
	request.on('error', () => undefined);
};

// Returns 0 if there is no body, and undefined if its length is not declared. More than the maximum is not kept.
const expectedLengthOf = (
	{headers}: IncomingMessage,
	maximumBytes: number,
): number | undefined =>
	headers['transfer-encoding'] === undefined
		? Math.min(Number(headers['content-length'] ?? 0), maximumBytes)
		: undefined;
