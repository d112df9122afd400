import type {RegisteredServer} from './registry-entry.ts';

/**
Identifies one incarnation of a backend server, from its start to its end. A restarted server may keep its id. Without a start time,
another version of the software is the only sign of a restart.
*/
export const incarnationIdOf = ({
	id,
	startedAt,
	softwareVersion,
}: Pick<RegisteredServer, 'id' | 'startedAt' | 'softwareVersion'>): string => {
	const mark =
		startedAt ??
		(softwareVersion === undefined
			? undefined
			: encodeURIComponent(softwareVersion));
	return mark === undefined ? id : `${id} ${mark}`;
};
