import {test, type TestContext} from 'node:test';
import {
	createOriginSharing,
	maximumVersionAgeMs,
	originLifeMsOf,
} from '../../../src/gateway/sharing/origin-sharing.ts';
import type {KnownServer} from '../../../src/registry/index.ts';
import type {Continuation} from '../../../src/stream-origins/index.ts';
import {memberOf} from '../../fixtures.ts';
import {exchangeOf, knownServerOf, routeOf} from '../fixtures.ts';

const route = routeOf({kind: 'streaming', isResumable: true});

// A node without peers whose copy of the registry has servers of the given versions.
const setUp = (versions: readonly string[]) => {
	let now = 0;
	let copyAgeMs = 0;
	const sharing = createOriginSharing({
		mesh: {
			self: () => memberOf('self', 'a1'),
			usable: () => [],
			others: () => [],
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
		without: new Set(),
		clock: () => now,
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

test('a caller that does not name its request is bound to the only version, also at a node that has just started', async (t: TestContext) => {
	const bound = await continuationOf(setUp(['v1', 'v1']), undefined);
	t.assert.deepStrictEqual(bound, {
		kind: 'bound',
		origin: {service: 'engine', softwareVersion: 'v1'},
	});
	const {kind} = await continuationOf(setUp(['v1', 'v2']), undefined);
	t.assert.strictEqual(kind, 'impossible');
});

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
