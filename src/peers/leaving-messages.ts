import {checkString} from './tuple-checks.ts';

/**
A backend server that announced its shutdown.
*/
export type LeavingServer = {
	readonly server: string;
	/**
	Identifies one incarnation of the server.
	*/
	readonly incarnationId: string;
};

/**
Shutdowns that backend servers announced, as sent to the other nodes of the sender's region.
*/
export type ServerLeavingMessage = {
	readonly kind: 'servers-leaving';
	/**
	Id of the sending node.
	*/
	readonly from: string;
	readonly servers: readonly LeavingServer[];
};

type Row = readonly unknown[];

/**
Encodes a message as one row per server; each row can be decoded on its own.
*/
export const encodeServerLeavingRows = ({
	servers,
}: ServerLeavingMessage): readonly Row[] =>
	servers.map(({server, incarnationId}) => [server, incarnationId]);

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeServerLeavingRows = (
	from: string,
	rows: readonly Row[],
): ServerLeavingMessage => ({
	kind: 'servers-leaving',
	from,
	servers: rows.map(([server, incarnationId]) => ({
		server: checkString(server),
		incarnationId: checkString(incarnationId),
	})),
});
