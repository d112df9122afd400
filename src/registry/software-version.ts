import type {RegisteredServer} from './registry-entry.ts';

/**
Returns the version of a backend server's software. Servers that state none share one version, the empty text.
*/
export const softwareVersionOf = ({
	softwareVersion,
}: Pick<RegisteredServer, 'softwareVersion'>): string => softwareVersion ?? '';
