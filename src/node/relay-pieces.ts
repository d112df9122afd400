import type {StreamEnd} from '../requests/index.ts';

/**
Relays the pieces of an answer to another node, which reads them to their end.

@yields What the answer holds until it ends or breaks off.
@throws {Error} If the answer broke off, so that its response breaks off too.
*/
export async function* relayPieces(
	pieces: AsyncGenerator<string, StreamEnd, void>,
): AsyncGenerator<string, void, void> {
	const end = yield* pieces;
	switch (end.kind) {
		case 'complete': {
			return;
		}

		case 'broken': {
			throw new Error(end.error.message);
		}

		case 'canceled': {
			throw new Error('The request was canceled');
		}
	}
}
