import {randomInt} from 'node:crypto';
import {test, type TestContext} from 'node:test';
import {unpack} from 'msgpackr';
import {request} from 'undici';
import {bindOnce} from '../../src/listening/index.ts';
import {viewFingerprint} from '../../src/membership/index.ts';
import {
	knownViewHeader,
	peerPaths,
	startPeerListener,
} from '../../src/mesh/index.ts';
import {memberOf} from '../fixtures.ts';

const forwardedMark = 'forwarded-by';
const forwardedStatus = 299;

const members = [memberOf('a1', 'a'), memberOf('b1', 'b')];

const start = async (t: TestContext) => {
	const address = `127.${randomInt(2, 250)}.${randomInt(1, 250)}.1:8001`;
	const listener = await startPeerListener({
		addresses: [{use: 'nodes', address}],
		bind: bindOnce,
		members: () => members,
		registryAfter: () => ({kind: 'unavailable', reason: 'a test'}),
		relayedAfter: async () => ({
			answer: {kind: 'unavailable', reason: 'a test'},
			ageMs: 0,
		}),
		promptsAfter: async () => ({
			epoch: '',
			next: 0,
			isWhole: true,
			changes: [],
		}),
		softwareVersions: () => undefined,
		isForwarded: ({headers}) => headers[forwardedMark] !== undefined,
		onForwarded(_request, response) {
			response.writeHead(forwardedStatus).end();
		},
	});
	t.after(listener.close);
	return async (target: string, headers: Record<string, string> = {}) => {
		const {statusCode, body} = await request(`http://${address}${target}`, {
			headers,
		});
		return {status: statusCode, bytes: await body.bytes()};
	};
};

test('a node with a different view receives all members, and a node with the same view receives none', async (t: TestContext) => {
	const fetchFrom = await start(t);
	const memberCountFor = async (knownView: string) => {
		const {bytes} = await fetchFrom(peerPaths.members, {
			[knownViewHeader]: knownView,
		});
		return (unpack(bytes) as readonly unknown[]).length;
	};

	t.assert.strictEqual(await memberCountFor('other'), 2);
	t.assert.strictEqual(
		await memberCountFor(viewFingerprint(members.toReversed())),
		0,
	);
});

test('a node of an older version that sends no view receives all members', async (t: TestContext) => {
	const fetchFrom = await start(t);
	const {status, bytes} = await fetchFrom(peerPaths.members);
	t.assert.strictEqual(status, 200);
	t.assert.strictEqual((unpack(bytes) as readonly unknown[]).length, 2);
});

test('a call that only opens a connection is answered without content', async (t: TestContext) => {
	const fetchFrom = await start(t);
	const {status, bytes} = await fetchFrom(peerPaths.rest);
	t.assert.deepStrictEqual([status, bytes.length], [204, 0]);
});

// Guards against forwarded requests that are taken for calls between nodes because of a path that callers or operators choose.
test('a forwarded request is told by its mark, whatever its path', async (t: TestContext) => {
	const fetchFrom = await start(t);
	const targets = [
		...Object.values(peerPaths).flatMap((path) => [path, `${path}?after=0`]),
		'/quillford/',
		'/other',
	];
	for (const target of targets) {
		const {status} = await fetchFrom(target, {[forwardedMark]: 'node-1'});
		t.assert.strictEqual(status, forwardedStatus, target);
	}
});

test('a request that is neither marked nor a call between nodes is not found', async (t: TestContext) => {
	const fetchFrom = await start(t);
	for (const target of ['/quillford/', '/other']) {
		const {status} = await fetchFrom(target);
		t.assert.strictEqual(status, 404, target);
	}
});
