// Guards against a success, framed as whole, for a response of a backend server that ended within its head.
import {test, type TestContext} from 'node:test';
import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {
	startRawConnections,
	type RawAnswer,
	type RawRequest,
} from '../raw-connections.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {waitUntilConnected} from './wait-until-settled.ts';

const zones = {north: 'upland', south: 'lowland'};
const text = 'id: 1\ndata: a\n\n';

const framings = {
	length: `content-length: ${text.length}\r\n\r\n${text}`,
	chunks: `transfer-encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`,
	close: `connection: close\r\n\r\n${text}`,
};

type Framing = keyof typeof framings;

type Tear = {
	readonly framing: Framing;
	/**
	Bytes of the response that are sent.
	*/
	readonly length: number;
	readonly end: 'close' | 'reset';
	/**
	What the server sends before the head: `surplus` is another whole response.
	*/
	readonly before: 'nothing' | 'surplus' | 'interim';
	readonly isSplit: boolean;
};

const answerOf = (id: string, framing: Framing): string =>
	[
		'HTTP/1.1 200 OK',
		`${standInHeaders.requestId}: ${id}`,
		`${standInHeaders.signature}: s`,
		'content-type: text/event-stream',
		framings[framing],
	].join('\r\n');

const headLengthOf = (framing: Framing): number =>
	answerOf('request-00000', framing).indexOf('\r\n\r\n') + 4;

// Each way to tear a head is tried at every fourth length, and all four together at every length.
const waysPerLength = 4;

const tears: readonly Tear[] = (
	Object.keys(framings) as readonly Framing[]
).flatMap((framing) =>
	Array.from({length: headLengthOf(framing)}, (_, length): readonly Tear[] => [
		{framing, length, end: 'close', before: 'nothing', isSplit: false},
		{framing, length, end: 'reset', before: 'nothing', isSplit: true},
		{framing, length, end: 'close', before: 'surplus', isSplit: false},
		{framing, length, end: 'close', before: 'interim', isSplit: true},
	]).flatMap((ways, length) => ways[length % waysPerLength]!),
);

const tornAnswerOf = (id: string, tear: Tear): RawAnswer => {
	const before = {
		nothing: '',
		surplus: answerOf('request-earlier', 'length'),
		interim: 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n',
	}[tear.before];
	const sent = answerOf(id, tear.framing).slice(0, tear.length);
	const middle = Math.floor(sent.length / 2);
	return {
		packets: tear.isSplit
			? [before + sent.slice(0, middle), sent.slice(middle)]
			: [before + sent],
		end: tear.end,
	};
};

// Requests on a kept connection carry the tear in their path; the one before them on the connection is answered whole.
const answerTo =
	(torn: Set<string>) =>
	(received: RawRequest): RawAnswer => {
		const {head, earlier} = received;
		const id = /x-test-id: (?<id>\S+)/iv.exec(head)?.groups?.id ?? '';
		const tear = /\/tear\/(?<index>\d+)/v.exec(head)?.groups?.index;
		if (tear === undefined || earlier === 0) {
			return {packets: [answerOf(id, 'length')], end: 'keep'};
		}

		torn.add(id);
		return tornAnswerOf(id, tears[Number(tear)]!);
	};

for (const kind of ['idempotent', 'streaming'] as const) {
	for (const from of ['north', 'south'] as const) {
		const way = from === 'north' ? 'itself' : 'another node';
		test(`no response that ends within its head is a success; ${kind} requests, sent by ${way}`, async (t: TestContext) => {
			const torn = new Set<string>();
			const server = await startRawConnections(
				t,
				answerTo(torn),
				`127.0.${randomInt(1, 250)}.1`,
			);
			const deployment = await startGateways(zones, 2);
			t.after(deployment.stop);
			deployment.registry.write('server engine-1', {
				kind: 'server',
				server: {
					id: 'engine-1',
					service: 'engine',
					address: server.address,
					availabilityZone: 'north',
					slots: 64,
					coldMs: 0,
					isLeaving: false,
				},
			});
			writeRoutes(
				deployment.registry,
				documentOf({
					routes: [routeOf({kind, maximumAttempts: 1})],
					services: [serviceOf()],
				}),
			);
			await waitUntilConnected(deployment);
			await sleep(3000);
			const address = deployment.callerAddresses[from === 'north' ? 0 : 1]!;
			let asked = 10_000;
			const ask = async (target: string) => {
				asked += 1;
				const id = `request-${asked}`;
				try {
					const answer = await request(`http://${address}${target}`, {
						headers: {
							host: 'site.example',
							[standInHeaders.requestId]: id,
							[standInHeaders.remainingMs]: '3000',
						},
					});
					return {
						id,
						status: answer.statusCode,
						body: await answer.body.text(),
					};
				} catch {
					return {id, status: 0, body: ''};
				}
			};

			for (const [index, tear] of tears.entries()) {
				for (const target of ['/a/whole', `/a/tear/${index}`]) {
					const {id, status, body} = await ask(target);
					if (status >= 200 && status < 300) {
						t.assert.ok(!torn.has(id), JSON.stringify(tear));
						t.assert.strictEqual(body, text);
					}
				}
			}

			t.assert.ok(torn.size > tears.length / 2, `${torn.size} torn`);
		});
	}
}
