import {test, type TestContext} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {
	createOriginSharing,
	maximumVersionAgeMs,
	originLifeMsOf,
} from '../../../src/gateway/sharing/origin-sharing.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import type {Member} from '../../../src/membership/index.ts';
import type {KnownServer} from '../../../src/registry/index.ts';
import {createRandom} from '../../../src/shared/index.ts';
import type {
	Continuation,
	VersionStatement,
} from '../../../src/stream-origins/index.ts';
import {memberOf} from '../../fixtures.ts';
import {exchangeOf, knownServerOf, routeOf} from '../fixtures.ts';

const route = routeOf({kind: 'streaming', isResumable: true});

// A node without peers whose copy of the registry has servers of the given versions.
const setUp = (
	versions: readonly string[],
	peers: readonly Member[] = [],
	statement?: VersionStatement,
) => {
	let now = 0;
	let copyAgeMs = 0;
	const sharing = createOriginSharing({
		mesh: {
			self: () => memberOf('self', 'a1'),
			usable: () => peers,
			others: () => peers,
			send: () => undefined,
		},
		regionOf: (zone) => zone.slice(0, 1),
		mirror: {
			servers: () =>
				new Map<string, KnownServer>(
					versions.map((softwareVersion, index) => {
						const known = knownServerOf(`server-${index}`, 1);
						return [
							known.server.id,
							{...known, server: {...known.server, softwareVersion}},
						];
					}),
				),
		},
		copyAgeMs: () => copyAgeMs,
		askVersions: async () => statement,
		longestLifeMs: () => originLifeMsOf(route),
		random: createRandom(1),
		without: new Set(),
		clock: () => now,
		logger: silentLogger,
	});
	sharing.refresh();
	sharing.tick(now);
	return {
		sharing,
		pass(ms: number, ageMs = 0) {
			now += ms;
			copyAgeMs = ageMs;
		},
	};
};

const continuationOf = async (
	{sharing}: ReturnType<typeof setUp>,
	continuedRequestId: string | undefined,
): Promise<Continuation> =>
	new Promise((resolve) => {
		const exchange = exchangeOf({
			route,
			lastEventId: '2',
			continuedRequestId,
			expiresAt: Infinity,
		});
		sharing.find(exchange, resolve);
	});

const boundToFirst: Continuation = {
	kind: 'bound',
	origin: {service: 'engine', softwareVersion: 'v1'},
};

test('a caller that does not name its request is bound to the only version that the node can have missed none beside', async (t: TestContext) => {
	const scene = setUp(['v1', 'v1']);
	const early = await continuationOf(scene, undefined);
	t.assert.strictEqual(early.kind, 'impossible');
	scene.pass(originLifeMsOf(route) - 1);
	const almost = await continuationOf(scene, undefined);
	t.assert.strictEqual(almost.kind, 'impossible');
	scene.pass(1);
	t.assert.deepStrictEqual(
		await continuationOf(scene, undefined),
		boundToFirst,
	);
	scene.pass(0, maximumVersionAgeMs + 1);
	t.assert.deepStrictEqual(
		await continuationOf(scene, undefined),
		boundToFirst,
	);
	const several = setUp(['v1', 'v2']);
	several.pass(originLifeMsOf(route));
	const {kind} = await continuationOf(several, undefined);
	t.assert.strictEqual(kind, 'impossible');
});

for (const {removed, expected} of [
	{removed: [], expected: 'bound'},
	{
		removed: [{service: 'engine', softwareVersion: 'v0', removedMs: 1000}],
		expected: 'impossible',
	},
] as const) {
	test(`a node that has just started decides by what another one knows: ${expected} with ${removed.length} versions removed lately`, async (t: TestContext) => {
		const scene = setUp(['v1'], [memberOf('old', 'a2')], {
			knownMs: 60_000,
			followedMs: 60_000,
			versions: [
				{service: 'engine', softwareVersion: 'v1', removedMs: 0},
				...removed,
			],
		});
		// The answer of the other node arrives.
		await turn();
		for (const requestId of [undefined, 'unknown']) {
			scene.pass(1);
			const {kind} = await continuationOf(scene, requestId);
			t.assert.strictEqual(kind, expected);
		}
	});
}

test('a named request without a record is bound to the only version once the node has known the versions for long enough', async (t: TestContext) => {
	const scene = setUp(['v1']);
	const early = await continuationOf(scene, 'unknown');
	t.assert.strictEqual(early.kind, 'impossible');
	scene.pass(originLifeMsOf(route));
	const late = await continuationOf(scene, 'unknown');
	t.assert.strictEqual(late.kind, 'bound');
	scene.pass(0, maximumVersionAgeMs + 1);
	const unconfirmed = await continuationOf(scene, 'unknown');
	t.assert.strictEqual(unconfirmed.kind, 'impossible');
});

test('a recorded request is bound to its origin, whatever is registered', async (t: TestContext) => {
	const scene = setUp(['v1', 'v2']);
	const origin = {service: 'engine', softwareVersion: 'v2'};
	scene.sharing.record(exchangeOf({requestId: 'begun', route}), origin);
	t.assert.deepStrictEqual(await continuationOf(scene, 'begun'), {
		kind: 'bound',
		origin,
	});
});
