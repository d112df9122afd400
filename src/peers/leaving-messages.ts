import {checkText} from './tuple-checks.ts';

/**
A backend server that announced its shutdown.
*/
export type LeavingServer = {
	readonly server: string;
	/**
	Names the life of the server.
	*/
	readonly incarnationId: string;
};

/**
What a node tells the others of its region of announced shutdowns.
*/
export type ServerLeavingMessage = {
	readonly kind: 'servers-leaving';
	/**
	Id of the node that tells.
	*/
	readonly from: string;
	readonly servers: readonly LeavingServer[];
};

type Row = readonly unknown[];

/**
The rows of a message, one a server; each can be read alone.
*/
export const serverLeavingRows = ({
	servers,
}: ServerLeavingMessage): readonly Row[] =>
	servers.map(({server, incarnationId}) => [server, incarnationId]);

/**
Reads rows; throws where they are of another form.
*/
export const readServerLeavingRows = (
	from: string,
	rows: readonly Row[],
): ServerLeavingMessage => ({
	kind: 'servers-leaving',
	from,
	servers: rows.map(([server, incarnationId]) => ({
		server: checkText(server),
		incarnationId: checkText(incarnationId),
	})),
});
