import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {TestContext} from 'node:test';
import fc from 'fast-check';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';

/**
What a backend server sends in place of a valid response.
*/
export type Reply = {
	readonly status: number;
	readonly id: 'own' | 'other' | 'none';
	readonly isSigned: boolean;
	readonly length: 'right' | 'short' | 'long' | 'negative' | 'none' | 'chunked';
	readonly body: string;
	readonly noise: Uint8Array;
	/**
	Fraction of the bytes that is sent before the connection ends.
	*/
	readonly sentPart: number;
	readonly isReset: boolean;
};

/**
Replies of all kinds, including valid ones.
*/
export const replies: fc.Arbitrary<Reply> = fc.record({
	status: fc.constantFrom(
		200,
		200,
		200,
		204,
		302,
		404,
		421,
		500,
		503,
		99,
		1000,
	),
	id: fc.constantFrom('own', 'own', 'other', 'none'),
	isSigned: fc.boolean(),
	length: fc.constantFrom(
		'right',
		'short',
		'long',
		'negative',
		'none',
		'chunked',
	),
	body: fc.string({unit: fc.constantFrom('a', 'b', 'c'), maxLength: 40}),
	noise: fc.oneof(
		{weight: 5, arbitrary: fc.constant(new Uint8Array())},
		{weight: 1, arbitrary: fc.uint8Array({maxLength: 20})},
	),
	sentPart: fc.oneof(
		{weight: 2, arbitrary: fc.constant(1)},
		{weight: 1, arbitrary: fc.double({min: 0, max: 1, noNaN: true})},
	),
	isReset: fc.boolean(),
});

/**
Bytes that a server sends in response to a request, and how it closes the connection then.
*/
export type RawReply = {readonly bytes: Buffer; readonly isReset: boolean};

/**
Starts a server that sends raw bytes in response to every request. `replyTo` returns the response to the request with an id.
*/
export const startRawServer = async (
	t: TestContext,
	replyTo: (requestId: string) => RawReply,
	host = '127.0.0.1',
) => {
	let count = 0;
	const server = createServer((socket) => {
		let seen = '';
		socket.on('error', () => undefined);
		socket.on('data', (chunk) => {
			seen += chunk.toString();
			const id = /x-(?:test|attempt)-id: (?<id>\S+)/iv.exec(seen)?.groups?.id;
			if (id === undefined || !seen.includes('\r\n\r\n')) {
				return;
			}

			seen = '';
			count += 1;
			send(socket, replyTo(id));
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {address: `${host}:${port}`, count: () => count};
};

/**
Starts a server that sends the current reply to every request.
*/
export const startBrokenServer = async (t: TestContext, reply: () => Reply) =>
	startRawServer(t, (id) => rawReplyOf(reply(), id));

const lengthLine = ({length, body}: Reply): readonly string[] => {
	switch (length) {
		case 'right': {
			return [`content-length: ${body.length}`];
		}

		case 'short': {
			return [`content-length: ${Math.floor(body.length / 2)}`];
		}

		case 'long': {
			return [`content-length: ${body.length + 7}`];
		}

		case 'negative': {
			return ['content-length: -3'];
		}

		case 'none': {
			return [];
		}

		case 'chunked': {
			return ['transfer-encoding: chunked'];
		}
	}
};

const textOf = (reply: Reply, ownId: string): string => {
	const id = reply.id === 'own' ? ownId : 'request-of-others';
	const head = [
		`HTTP/1.1 ${reply.status} Some`,
		...(reply.id === 'none' ? [] : [`${standInHeaders.requestId}: ${id}`]),
		...(reply.isSigned ? [`${standInHeaders.signature}: s`] : []),
		...lengthLine(reply),
	];
	const body =
		reply.length === 'chunked'
			? `${reply.body.length.toString(16)}\r\n${reply.body}\r\n0\r\n\r\n`
			: reply.body;
	return `${head.join('\r\n')}\r\n\r\n${body}`;
};

/**
The bytes of a reply to the request with the given id.
*/
export const rawReplyOf = (reply: Reply, ownId: string): RawReply => {
	const bytes = Buffer.concat([reply.noise, Buffer.from(textOf(reply, ownId))]);
	return {
		bytes: bytes.subarray(0, Math.floor(bytes.length * reply.sentPart)),
		isReset: reply.isReset,
	};
};

const send = (socket: Socket, {bytes, isReset}: RawReply) => {
	socket.write(bytes, () => {
		if (isReset) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	});
};
