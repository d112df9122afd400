import {Readable} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {fastify} from 'fastify';
import {request} from 'undici';
import {createGatewayError} from '../../src/errors/index.ts';
import {relayPieces} from '../../src/node/relay-pieces.ts';
import type {StreamEnd} from '../../src/requests/index.ts';

const readAfter = async (t: TestContext, end: StreamEnd): Promise<string> => {
	async function* pieces() {
		yield 'data: 1\n\n';
		return end;
	}

	const app = fastify();
	t.after(async () => app.close());
	app.get('/', async (_request, reply) =>
		reply.send(Readable.from(relayPieces(pieces()))),
	);
	const {body} = await request(await app.listen({host: '127.0.0.1', port: 0}));
	return body.text();
};

test('a stored answer that broke off breaks off at the node that redeems it, too', async (t: TestContext) => {
	t.assert.strictEqual(
		await readAfter(t, {kind: 'complete', tokens: 1}),
		'data: 1\n\n',
	);
	const error = createGatewayError('stream-broken', 'broke off');
	for (const end of [
		{kind: 'broken', tokens: 1, error},
		{kind: 'canceled', tokens: 1},
	] as const) {
		await t.assert.rejects(async () => readAfter(t, end), {
			message: /closed|terminated/v,
		});
	}
});
