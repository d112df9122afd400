import type {Buffer} from 'node:buffer';
import {readBody} from './read-body.ts';

/**
A time limit for a response that ends when nothing arrives, however long the whole response takes.
*/
export type IdleTimeout = {
	/**
	Aborts when the time is over.
	*/
	readonly signal: AbortSignal;
	/**
	Restarts the time limit; called with each part of the response.
	*/
	extend(): void;
	clear(): void;
};

/**
Maximum time for a whole response, in milliseconds. One that arrives more slowly is requested elsewhere.
*/
export const maximumResponseMs = 5000;

/**
Creates a time limit.

@param firstMs Time until the first part has to arrive, in milliseconds.
@param idleMs Time until each further part has to arrive, in milliseconds.
*/
export const createIdleTimeout = (
	firstMs: number,
	idleMs: number,
): IdleTimeout => {
	const controller = new AbortController();
	const abortAfter = (ms: number, reason: string) =>
		setTimeout(() => {
			controller.abort(new Error(`${reason} for ${ms} ms`));
		}, ms);
	let timer = abortAfter(firstMs, 'nothing received');
	const totalTimer = abortAfter(
		firstMs + maximumResponseMs,
		'response not complete',
	);

	return {
		signal: controller.signal,
		extend() {
			clearTimeout(timer);
			timer = abortAfter(idleMs, 'nothing received');
		},
		clear() {
			clearTimeout(timer);
			clearTimeout(totalTimer);
		},
	};
};

/**
Calls a function with a time limit, and clears the limit when it has ended.
*/
export const withIdleTimeout = async <Value>(
	firstMs: number,
	idleMs: number,
	act: (timeout: IdleTimeout) => Promise<Value>,
): Promise<Value> => {
	const timeout = createIdleTimeout(firstMs, idleMs);
	try {
		return await act(timeout);
	} finally {
		timeout.clear();
	}
};

/**
Maximum size of a response with the state of a registry or of another node, in bytes.
*/
export const maximumStateBytes = 33_554_432;

/**
Reads a whole body within an idle time limit.

@throws {Error} If the limit passes without a further part, or if the body is longer than `maximumStateBytes`.
*/
export const readWithIdleTimeout = async (
	body: AsyncIterable<Uint8Array>,
	timeout: IdleTimeout,
): Promise<Buffer> => readBody(body, maximumStateBytes, timeout.extend);
