import {createHash} from 'node:crypto';
import {fingerprintDigits} from './request-fingerprint.ts';

const prefix = 'part-';

/**
A digest of a part of a prompt, as the servers of one service run it. No fingerprint of a request equals it.

@param service Name of the service.
@param part Id of the part, as callers state it.
*/
export const partFingerprintOf = (service: string, part: string): string =>
	prefix +
	createHash('sha256')
		.update(JSON.stringify([service, part]))
		.digest('hex')
		.slice(0, fingerprintDigits);

/**
Whether a fingerprint is that of a part of a prompt.
*/
export const isPartFingerprint = (fingerprint: string): boolean =>
	fingerprint.startsWith(prefix);
