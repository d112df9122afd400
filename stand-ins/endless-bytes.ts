import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/**
Bytes that a server sends again and again until its connection is closed, after those that it sends once.
*/
export type EndlessBytes = {
	readonly first: string;
	readonly repeated: string;
};

const partBytes = 65_536;

/**
Returns the ways in which a response may never end.

@param head Head of a valid response, without its last empty line.
@param body Body of a valid response.
*/
export const endlessResponses = (
	head: string,
	body = '{}',
): Readonly<Record<string, EndlessBytes>> => {
	const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
	return {
		'a body without a length': {first: `${head}\r\n`, repeated: 'a'},
		'a body in chunks': {first: chunked, repeated: '1\r\na\r\n'},
		'a chunk extension': {first: `${chunked}1;`, repeated: 'a'},
		'interim heads': {first: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'},
		'header lines': {first: head, repeated: 'x-a: b\r\n'},
		'a header line': {first: `${head}x-a: `, repeated: 'b'},
		'bytes that are no HTTP': {first: '', repeated: '\u{0}nonsense'},
		trailers: {first: `${chunked}1\r\na\r\n0\r\n`, repeated: 'x-a: b\r\n'},
		'bytes after a whole answer': {
			first: `${head}content-length: ${body.length}\r\n\r\n${body}`,
			repeated: 'a',
		},
	};
};

/**
Writes endless bytes to a connection as fast as they are read, until it is closed. `onWritten` receives the number of bytes of each
part.
*/
export const writeEndless = (
	socket: Socket,
	bytes: EndlessBytes,
	onWritten: (bytes: number) => void = () => undefined,
): void => {
	const {first, repeated} = bytes;
	const part = Buffer.from(
		repeated.repeat(Math.ceil(partBytes / repeated.length)),
		'latin1',
	);
	const send = () => {
		while (socket.writable) {
			onWritten(part.length);
			if (!socket.write(part)) {
				socket.once('drain', send);
				return;
			}
		}
	};

	socket.write(first);
	send();
};
