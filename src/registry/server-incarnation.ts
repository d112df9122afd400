import type {RegisteredServer} from './registry-entry.ts';

/**
Names one life of a backend server, from its start to its end; a server that starts again may keep its id.
*/
export const incarnationIdOf = ({
	id,
	startedAt,
}: Pick<RegisteredServer, 'id' | 'startedAt'>): string =>
	startedAt === undefined ? id : `${id} ${startedAt}`;
