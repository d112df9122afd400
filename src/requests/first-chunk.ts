import type {Buffer} from 'node:buffer';
import type {OpenAttempt} from './attempt.ts';

/**
Waits for the first chunk of an attempt's response. Returns the attempt with its whole response, or undefined if none arrives.
*/
export const withFirstChunk = async (
	attempt: OpenAttempt,
	signal: AbortSignal,
): Promise<OpenAttempt | undefined> => {
	const chunks = attempt.upstream.body[Symbol.asyncIterator]();
	try {
		const first = await chunks.next();
		if (first.done !== true) {
			const body = startingWith(first.value, chunks);
			return {...attempt, upstream: {...attempt.upstream, body}};
		}
	} catch {
		// The attempt has failed or was canceled; both are recorded below.
	}

	attempt.abort.abort();
	attempt.finish(signal.aborted ? 'canceled' : 'failed');
	return undefined;
};

async function* startingWith(
	first: Buffer,
	rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer, void, void> {
	yield first;
	for (
		let next = await rest.next();
		next.done !== true;
		next = await rest.next()
	) {
		yield next.value;
	}
}
