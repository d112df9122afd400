import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {startStandInServer} from '../../stand-ins/registered-server.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {waitUntil} from '../until.ts';
import {
	rawReplyOf,
	replies,
	startBrokenServer,
	type Reply,
} from './broken-server.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

test('whatever a backend server sends, the caller receives the complete answer to its own request or a refusal', async (t: TestContext) => {
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

	await waitUntil(async () => (await ask('/sound/a')).status === 200);
	await fc.assert(
		fc.asyncProperty(replies, async (given) => {
			reply = given;
			const {status, text} = await ask('/broken/a');
			if (status === 200) {
				t.assert.deepStrictEqual(
					[given.status, given.id, given.isSigned],
					[200, 'own', true],
				);
				t.assert.strictEqual(text, completeBodyOf(given, `own-${asked}`));
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

// The body that a reply proves to be complete: as long as it states, or, without a length, all that came before an orderly close.
const completeBodyOf = (
	reply: Reply,
	requestId: string,
): string | undefined => {
	switch (reply.length) {
		case 'right':
		case 'chunked': {
			return reply.body;
		}

		case 'short': {
			return reply.body.slice(0, Math.floor(reply.body.length / 2));
		}

		case 'none': {
			const sent = rawReplyOf(reply, requestId).bytes.toString();
			const headEnd = sent.indexOf('\r\n\r\n', sent.indexOf('HTTP/1.1'));
			return reply.isReset ? undefined : sent.slice(headEnd + 4);
		}

		case 'long':
		case 'negative': {
			return undefined;
		}
	}
};
