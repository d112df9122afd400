import type {Policy} from '../configuration/index.ts';
import {stableHash} from '../shared/index.ts';

const positions = 10_000;

/**
 Where a client's session falls, in percent from 0 up to, but without, 100.
 
 The hash is the same on every VM, so a session stays in its slice wherever it
 enters; policies with one salt divide the same traffic between them.
 */
export const slicePosition = (
	salt: string,
	clientName: string,
	session: string,
): number =>
	((stableHash(`${salt}\u{0}${clientName}\u{0}${session}`) % positions) /
		positions) *
	100;

/**
Whether a position lies in a slice; no slice takes everything.
*/
export const isInSlice = (
	slice: Policy['slice'],
	clientName: string,
	session: string,
): boolean => {
	if (!slice) {
		return true;
	}

	const position = slicePosition(slice.salt, clientName, session);
	return position >= slice.fromPercent && position < slice.untilPercent;
};
