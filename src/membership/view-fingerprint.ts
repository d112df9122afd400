import {stableHash} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
Fingerprint of a view of the members. Equal views have equal fingerprints, independent of the order of the members. With
64 bits, a collision is not expected during the lifetime of a deployment.
*/
export const viewFingerprint = (members: readonly Member[]): string => {
	const text = members
		.map(
			({id, incarnation, revision, status}) =>
				`${id} ${incarnation} ${revision} ${status}`,
		)
		.toSorted()
		.join('\n');
	return `${stableHash(text)}.${stableHash(text, 1)}`;
};
