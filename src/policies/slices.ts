import type {Policy} from '../configuration/index.ts';
import {stableHash} from '../shared/index.ts';

const slicePositions = 10_000;

/**
 Returns the position of a client's session, as a percentage from 0 (inclusive) to 100 (exclusive).

 The hash is the same on every VM, so a session stays in its slice on any VM that
 receives it. Policies with the same salt partition the same traffic.
 */
export const slicePosition = (
	salt: string,
	clientName: string,
	session: string,
): number =>
	((stableHash(`${salt}\u{0}${clientName}\u{0}${session}`) % slicePositions) /
		slicePositions) *
	100;

/**
Returns whether a client's session lies in a slice. Without a slice, every session does.
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
