import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/**
What makes two requests the same, whatever their ids, their connections and the nodes that they come to.
*/
export type FingerprintedRequest = {
	readonly method: string;
	readonly host: string;
	/**
	Path and query.
	*/
	readonly target: string;
	/**
	Name of the client account; undefined where callers need no key.
	*/
	readonly client: string | undefined;
	readonly body: Buffer | undefined;
};

/**
Hexadecimal digits of a fingerprint: with the few thousand that are ever compared, two requests have the same one
by chance once in some trillions.
*/
export const fingerprintDigits = 16;

/**
A digest of what a request asks for. Neither a key nor a part of the body can be read from it, so it may be logged.
*/
export const fingerprintOf = ({
	method,
	host,
	target,
	client,
	body,
}: FingerprintedRequest): string => {
	const hash = createHash('sha256').update(
		JSON.stringify([method, host, target, client ?? '']),
	);
	if (body) {
		hash.update(body);
	}

	return hash.digest('hex').slice(0, fingerprintDigits);
};
