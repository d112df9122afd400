import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	smallBodyBytes,
	type MemoryBudget,
	type Reservation,
} from '../../memory-budget/index.ts';

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
	const declaredBytes = declaredLengthOf(request);
	let reservation: Reservation | undefined;
	let collector: Collector | undefined;
	let isDone = false;
	let size = 0;

	const finish = (body: RequestBody) => {
		if (isDone) {
			return;
		}

		isDone = true;
		collector = undefined;
		done(body);
	};

	const hasReserved = (): boolean => {
		const result = memory.reserve(
			Math.min(declaredBytes ?? smallBodyBytes, maximumBytes),
			() => {
				request.destroy();
			},
		);
		switch (result.kind) {
			case 'reserved': {
				({reservation} = result);
				response.once('close', result.reservation.release);
				return true;
			}

			case 'no-room': {
				finish(result);
				return false;
			}
		}
	};

	// The pieces of a body without a declared length are joined at its end, which takes its memory twice.
	const hasRoom = (): boolean => {
		if (declaredBytes !== undefined || size <= smallBodyBytes) {
			return true;
		}

		const retryAfterMs = reservation?.growTo(
			2 * Math.min(maximumBytes, maximumUndeclaredBytes),
		);
		if (retryAfterMs === undefined) {
			return true;
		}

		reservation?.release();
		finish({kind: 'no-room', retryAfterMs});
		return false;
	};

	const collect = (chunk: Buffer) => {
		size += chunk.length;
		if (isDone || size > maximumBytes || !hasRoom()) {
			return;
		}

		collector ??= createCollector(
			declaredBytes === undefined
				? undefined
				: Math.min(declaredBytes, maximumBytes),
		);
		collector.add(chunk);
		reservation?.progress();
	};

	const hasBody = declaredBytes !== 0;
	if (hasBody && hasReserved()) {
		request.on('data', collect);
	} else {
		request.resume();
	}

	request.on('end', () => {
		reservation?.complete();
		finish(
			size > maximumBytes
				? {kind: 'too-large'}
				: {kind: 'whole', bytes: size === 0 ? undefined : collector?.bytes()},
		);
	});
	// A sender that aborts gets no response, because its connection is gone.
	request.on('error', () => undefined);
};

// Returns 0 if there is no body, and undefined if its length is not declared.
const declaredLengthOf = ({headers}: IncomingMessage): number | undefined =>
	headers['transfer-encoding'] === undefined
		? Number(headers['content-length'] ?? 0)
		: undefined;

type Collector = {
	add(chunk: Buffer): void;
	bytes(): Buffer;
};

const createCollector = (declaredBytes: number | undefined): Collector =>
	declaredBytes !== undefined && declaredBytes > smallBodyBytes
		? createCopyingCollector(declaredBytes)
		: createJoiningCollector();

// Each chunk is copied when it arrives, so a long body is not held twice.
const createCopyingCollector = (declaredBytes: number): Collector => {
	const bytes = Buffer.allocUnsafeSlow(declaredBytes);
	let size = 0;
	return {
		add(chunk) {
			size += chunk.copy(bytes, size);
		},
		bytes: () => bytes.subarray(0, size),
	};
};

const createJoiningCollector = (): Collector => {
	const chunks: Buffer[] = [];
	return {
		add(chunk) {
			chunks.push(chunk);
		},
		bytes: () => Buffer.concat(chunks),
	};
};
