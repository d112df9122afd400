import {createHash} from 'node:crypto';
import {fingerprintDigits} from './request-fingerprint.ts';

/**
A part of a prompt as the servers of one service and software version run it. Another version need not crash on the same part.
*/
export type PromptPartAtVersion = {
	readonly service: string;
	readonly softwareVersion: string;
	/**
	Id of the part, as callers state it.
	*/
	readonly part: string;
};

const prefix = 'part-';

/**
A digest of a part of a prompt, which no fingerprint of a request equals.
*/
export const partFingerprintOf = ({
	service,
	softwareVersion,
	part,
}: PromptPartAtVersion): string =>
	prefix +
	createHash('sha256')
		.update(JSON.stringify([service, softwareVersion, part]))
		.digest('hex')
		.slice(0, fingerprintDigits);

/**
Whether a fingerprint is that of a part of a prompt.
*/
export const isPartFingerprint = (fingerprint: string): boolean =>
	fingerprint.startsWith(prefix);
