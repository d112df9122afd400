import type {RegisteredServer} from './registry-entry.ts';

/**
Identifies one incarnation of a backend server, from its start to its end. A restarted server may keep its id.
*/
export const incarnationIdOf = ({
	id,
	startedAt,
}: Pick<RegisteredServer, 'id' | 'startedAt'>): string =>
	startedAt === undefined ? id : `${id} ${startedAt}`;
