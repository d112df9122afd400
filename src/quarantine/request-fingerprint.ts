import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/**
The parts of a request that identify it, independent of its id, its connection and the node that receives it.
*/
export type FingerprintedRequest = {
	readonly method: string;
	readonly host: string;
	/**
	Path and query.
	*/
	readonly target: string;
	/**
	Name of the client account; undefined if callers need no key.
	*/
	readonly client: string | undefined;
	readonly body: Buffer | undefined;
};

/**
Hexadecimal digits of a fingerprint. Among the few thousand fingerprints that are ever compared, the chance that two
requests share one is one in some trillions.
*/
export const fingerprintDigits = 16;

/**
A digest of the content of a request. It reveals neither a key nor any part of the body, so it may be logged.
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
