import {stableHash} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
Names a view of the members: nodes with the same view have the same one, in whatever order they list
them. 64 bits, so that two views share one by chance never in the life of a deployment.
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
