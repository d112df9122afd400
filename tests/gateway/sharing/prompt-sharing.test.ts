import {test, type TestContext} from 'node:test';
import {
	createPromptSharing,
	startupEngineLimit,
} from '../../../src/gateway/sharing/prompt-sharing.ts';
import {createLogger} from '../../../src/logging/index.ts';
import type {PeerClient} from '../../../src/mesh/index.ts';
import type {FeedAnswer} from '../../../src/prompts/index.ts';
import {createRegistryMirror} from '../../../src/registry/index.ts';
import {noStatements} from '../../../src/server-statements/index.ts';
import {memberOf} from '../../fixtures.ts';
import {waitUntil} from '../../until.ts';
import {documentOf, serviceOf} from '../fixtures.ts';

const mirrorWithEngines = (count: number) => {
	const mirror = createRegistryMirror();
	mirror.apply(
		{
			kind: 'snapshot',
			revision: 1,
			items: [
				{
					key: 'routes',
					revision: 1,
					value: {
						kind: 'routes',
						document: documentOf({
							services: [
								serviceOf({engine: {slots: 8, memoryTokens: 100_000}}),
							],
						}),
					},
				},
				...Array.from({length: count}, (_, index) => ({
					key: `servers/engine-${index + 1}`,
					revision: 1,
					value: {
						kind: 'server' as const,
						server: {
							id: `engine-${index + 1}`,
							service: 'engine',
							address: `10.0.0.${index + 1}:80`,
							availabilityZone: 'zone-a',
							slots: 8,
							isLeaving: false,
							coldMs: 0,
						},
					},
				})),
			],
		},
		0,
		'registry',
	);
	return mirror;
};

const sharingOf = (
	without: ReadonlySet<'early-cache-events'>,
	hasSettled: boolean,
	engines = 1,
) => {
	const self = memberOf('node-2', 'zone-a');
	const readEngines: string[] = [];
	const followedScopes: string[] = [];
	const peerClient: Partial<PeerClient> = {
		async promptsAfter(_address, {scope}): Promise<FeedAnswer | undefined> {
			followedScopes.push(scope);
			return undefined;
		},
	};
	const others = [
		memberOf('node-1', 'zone-a'),
		memberOf('node-3', 'zone-a'),
		memberOf('node-4', 'zone-b'),
	];
	const sharing = createPromptSharing({
		clock: () => 0,
		backoffs: {remainingMs: () => 0},
		statements: {handle: () => noStatements},
		backendLimits: {enginePollIntervalMs: () => 0},
		caches: {
			async events({id}) {
				readEngines.push(id);
				return {
					kind: 'events',
					epoch: 'one',
					next: 1,
					events: [{part: 'part', tokens: 5000}],
				};
			},
			close: async () => undefined,
		},
		without,
		mirror: mirrorWithEngines(engines),
		peerClient: peerClient as PeerClient,
		availabilityZone: 'zone-a',
		zones: ['zone-a', 'zone-b'],
		mesh: {self: () => self, usable: () => others},
		hasSettled: () => hasSettled,
		logger: createLogger('test'),
	});
	return {sharing, readEngines, followedScopes};
};

const none: ReadonlySet<'early-cache-events'> = new Set();

test('a node that has just started reads the engines of its zone, whichever node holds the role', async (t: TestContext) => {
	const {sharing} = sharingOf(none, false);
	t.after(sharing.stop);
	sharing.tick();
	await waitUntil(() => sharing.isCached('engine-1', 'part'));
	t.assert.ok(sharing.isCached('engine-1', 'part'));
});

test('once settled only the role holder reads engines, and before that no node does with the mechanism disabled', (t: TestContext) => {
	const settled = sharingOf(none, true);
	const late = sharingOf(new Set(['early-cache-events']), false);
	for (const {sharing} of [settled, late]) {
		t.after(sharing.stop);
		sharing.tick();
	}

	// Rendezvous hashing assigns the role to another node of the zone.
	t.assert.deepStrictEqual(settled.readEngines, []);
	t.assert.deepStrictEqual(late.readEngines, []);
});

test('a node that has just started reads a limited number of engines and follows no other zone', (t: TestContext) => {
	const {sharing, readEngines, followedScopes} = sharingOf(none, false, 19);
	t.after(sharing.stop);
	sharing.tick();
	t.assert.strictEqual(new Set(readEngines).size, startupEngineLimit);
	t.assert.strictEqual(readEngines.length, startupEngineLimit);
	// It follows the role holder of its zone for all engines, and no holder of another zone.
	t.assert.deepStrictEqual(followedScopes, ['all']);
});
