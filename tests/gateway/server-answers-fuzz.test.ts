import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {startStandInServer} from '../../stand-ins/registered-server.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {until} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

/**
What a backend server sends in place of a sound answer.
*/
type Reply = {
	readonly status: number;
	readonly id: 'own' | 'other' | 'none';
	readonly isSigned: boolean;
	readonly length: 'right' | 'short' | 'long' | 'negative' | 'none' | 'chunked';
	readonly body: string;
	readonly noise: Uint8Array;
	/**
	Part of the bytes that is sent before the connection ends.
	*/
	readonly sentPart: number;
	readonly isReset: boolean;
};

const replies: fc.Arbitrary<Reply> = fc.record({
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

const send = (socket: Socket, reply: Reply, ownId: string) => {
	const bytes = Buffer.concat([reply.noise, Buffer.from(textOf(reply, ownId))]);
	const sent = bytes.subarray(0, Math.floor(bytes.length * reply.sentPart));
	socket.write(sent, () => {
		if (reply.isReset) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	});
};

// A server that sends the reply that is set, whatever it is asked.
const startBrokenServer = async (t: TestContext, reply: () => Reply) => {
	let count = 0;
	const server = createServer((socket) => {
		let seen = '';
		socket.on('error', () => undefined);
		socket.on('data', (chunk) => {
			seen += chunk.toString();
			const id = /x-test-id: (?<id>\S+)/iv.exec(seen)?.groups?.id;
			if (id === undefined || !seen.includes('\r\n\r\n')) {
				return;
			}

			seen = '';
			count += 1;
			send(socket, reply(), id);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${port}`, count: () => count};
};

test('whatever a backend server sends, its caller gets its own answer whole or a refusal', async (t: TestContext) => {
	let reply: Reply | undefined;
	const broken = await startBrokenServer(t, () => reply!);
	const deployment = await startGateways({north: 'upland'}, 1);
	t.after(deployment.stop);
	const {registry} = deployment;
	registry.write('server broken-1', {
		kind: 'server',
		server: {
			id: 'broken-1',
			service: 'broken',
			address: broken.address,
			availabilityZone: 'north',
			slots: 4,
			coldMs: 0,
			isLeaving: false,
		},
	});
	const sound = await startStandInServer(
		registry,
		{
			id: 'sound-1',
			service: 'sound',
			address: deployment.nextAddress(),
			availabilityZone: 'north',
			slots: 4,
		},
		{kind: 'whole', text: 'done'},
	);
	t.after(sound.close);
	writeRoutes(
		registry,
		documentOf({
			routes: ['broken', 'sound'].map((name) =>
				routeOf({
					name,
					pathPrefix: `/${name}/`,
					services: [{service: name, weight: 1}],
					maximumAttempts: 1,
				}),
			),
			services: [serviceOf({name: 'broken'}), serviceOf({name: 'sound'})],
		}),
	);
	const [address = ''] = deployment.callerAddresses;
	let asked = 0;
	const ask = async (path: string) => {
		asked += 1;
		const answer = await request(`http://${address}${path}`, {
			method: 'POST',
			body: 'hello',
			headers: {
				host: 'site.example',
				[standInHeaders.requestId]: `own-${asked}`,
				[standInHeaders.remainingMs]: '4000',
			},
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	};

	await until(async () => (await ask('/sound/a')).status === 200);
	await fc.assert(
		fc.asyncProperty(replies, async (given) => {
			reply = given;
			const {status, text} = await ask('/broken/a');
			if (status === 200) {
				t.assert.deepStrictEqual(
					[given.status, given.id, given.isSigned],
					[200, 'own', true],
				);
				t.assert.ok(given.body.startsWith(text));
				const canBeShort = given.length === 'short' || given.length === 'none';
				t.assert.ok(canBeShort || text === given.body);
			}

			t.assert.doesNotMatch(text, /own-/v);
			t.assert.deepStrictEqual(await ask('/sound/a'), {
				status: 200,
				text: 'done',
			});
		}),
		{numRuns: 200},
	);
	t.assert.ok(broken.count() > 150);
});
