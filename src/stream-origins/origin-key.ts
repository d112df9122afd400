import {sha256} from '../shared/index.ts';

// Hexadecimal digits of a key. Request ids may be long, and records have to be small.
const keyLength = 16;

/**
Returns the key under which the origin of a stream is recorded.

@param requestId The caller's request that brought the first event of the stream.
*/
export const originKeyOf = (requestId: string): string =>
	sha256(requestId).slice(0, keyLength);
