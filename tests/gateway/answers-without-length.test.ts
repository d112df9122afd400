// Guards against answers without a length that break off and reach their caller as complete, through one node or two.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {startGateways} from '../../stand-ins/gateways.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {waitUntil} from '../until.ts';
import {startRawServer, type RawReply} from './broken-server.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

const event = 'id: 1\ndata: x\n\n';
const headOf = (requestId: string) =>
	[
		'HTTP/1.1 200 OK',
		`${standInHeaders.requestId}: ${requestId}`,
		`${standInHeaders.signature}: s`,
		'\r\n',
	].join('\r\n');

type Cut = {readonly body: string; readonly isReset: boolean};

/**
A server in one region, a node there and another one in a second region, so that the requests of the latter take two nodes.
*/
const setUp = async (t: TestContext) => {
	let current: Cut = {body: '', isReset: false};
	const deployment = await startGateways(
		{north: 'upland', south: 'lowland'},
		2,
	);
	t.after(deployment.stop);
	const server = await startRawServer(t, (requestId): RawReply => ({
		bytes: Buffer.from(headOf(requestId) + current.body),
		isReset: current.isReset,
	}));
	deployment.registry.write('server raw-1', {
		kind: 'server',
		server: {
			id: 'raw-1',
			service: 'engine',
			address: server.address,
			availabilityZone: 'north',
			slots: 4,
			coldMs: 0,
			isLeaving: false,
		},
	});
	writeRoutes(
		deployment.registry,
		documentOf({
			routes: [
				routeOf({name: 'stream', kind: 'streaming', maximumAttempts: 1}),
				routeOf({name: 'plain', pathPrefix: '/plain/', maximumAttempts: 1}),
			],
			services: [serviceOf()],
		}),
	);
	let asked = 0;
	const ask = async (
		address: string,
		path: string,
		cut: Cut,
		protocol = 'HTTP/1.1',
	): Promise<Received> => {
		current = cut;
		asked += 1;
		return exchange(address, [
			`POST ${path} ${protocol}`,
			'host: site.example',
			'connection: close',
			`${standInHeaders.requestId}: attempt-${asked}`,
			`${standInHeaders.remainingMs}: 4000`,
			'content-length: 0',
			'\r\n',
		]);
	};

	const whole = {body: event, isReset: false};
	const [near = '', far = ''] = deployment.callerAddresses;
	for (const address of [near, far]) {
		await waitUntil(
			async () => (await ask(address, '/a/b', whole)).end === 'complete',
		);
	}

	return {ask, near, far};
};

type Received = {
	readonly status: number;
	readonly text: string;
	/**
	What the framing of the response tells its caller; `close` if only the end of the connection ends it.
	*/
	readonly end: 'complete' | 'broken' | 'close' | 'reset';
};

// Reads the bytes themselves, because client libraries judge the end of a response in their own ways.
const exchange = async (
	address: string,
	lines: readonly string[],
): Promise<Received> =>
	new Promise((resolve) => {
		const [host = '', port = ''] = address.split(':', 2);
		const socket = connect(Number(port), host, () => {
			socket.write(lines.join('\r\n'));
		});
		let text = '';
		let isReset = false;
		socket.on('data', (chunk) => {
			text += String(chunk);
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			resolve({
				status: Number(text.split(' ', 2)[1] ?? 0),
				text,
				end: endOf(text, isReset),
			});
		});
	});

const endOf = (text: string, isReset: boolean): Received['end'] => {
	const length = /content-length: (?<length>\d+)/iv.exec(text)?.groups?.length;
	if (/transfer-encoding: chunked/iv.test(text)) {
		return text.endsWith('\r\n0\r\n\r\n') ? 'complete' : 'broken';
	}

	if (length !== undefined) {
		const received = text.length - text.indexOf('\r\n\r\n') - 4;
		return received === Number(length) ? 'complete' : 'broken';
	}

	return isReset || text === '' ? 'reset' : 'close';
};

const cuts: ReadonlyArray<readonly [string, Cut]> = [
	['before its first event', {body: '', isReset: false}],
	['inside an event', {body: `${event}id: 2\nda`, isReset: false}],
	['before the empty line', {body: `${event}id: 2\ndata: y\n`, isReset: false}],
	['by a reset', {body: event, isReset: true}],
];

test('a stream without length that is broken off is never framed as complete, through one node or two', async (t: TestContext) => {
	const {ask, near, far} = await setUp(t);
	for (const address of [near, far]) {
		for (const [name, cut] of cuts) {
			const {status, end} = await ask(address, '/a/b', cut);
			t.assert.ok(status !== 200 || end === 'broken', `${name}: ${end}`);
		}

		const {text, end} = await ask(address, '/a/b', {
			body: event + event,
			isReset: false,
		});
		t.assert.deepStrictEqual([text.split(event).length, end], [3, 'complete']);
	}
});

test('a caller of HTTP/1.0, who gets no chunks, sees a reset where a stream is broken off', async (t: TestContext) => {
	const {ask, near, far} = await setUp(t);
	for (const address of [near, far]) {
		for (const [name, cut] of cuts) {
			const {status, end} = await ask(address, '/a/b', cut, 'HTTP/1.0');
			t.assert.ok(status !== 200 || end === 'reset', `${name}: ${end}`);
		}

		const {end} = await ask(
			address,
			'/a/b',
			{body: event, isReset: false},
			'HTTP/1.0',
		);
		t.assert.strictEqual(end, 'close');
	}
});

test('a whole answer without length is complete if its connection is closed, and not if it is reset', async (t: TestContext) => {
	const {ask, near, far} = await setUp(t);
	for (const address of [near, far]) {
		const closed = await ask(address, '/plain/b', {
			body: 'done',
			isReset: false,
		});
		t.assert.deepStrictEqual([closed.status, closed.end], [200, 'complete']);
		const reset = await ask(address, '/plain/b', {body: 'done', isReset: true});
		t.assert.strictEqual(reset.status, 502);
	}
});
