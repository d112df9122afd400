import {test, type TestContext} from 'node:test';
import {createPromptSharing} from '../../../src/gateway/sharing/prompt-sharing.ts';
import {createLogger} from '../../../src/logging/index.ts';
import type {PeerQuestions} from '../../../src/mesh/index.ts';
import type {FeedAnswer} from '../../../src/prompts/index.ts';
import {createRegistryMirror} from '../../../src/registry/index.ts';
import {memberOf} from '../../fixtures.ts';
import {until} from '../../until.ts';
import {documentOf, serviceOf} from '../fixtures.ts';

const mirrorWithEngine = () => {
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
				{
					key: 'servers/engine-1',
					revision: 1,
					value: {
						kind: 'server',
						server: {
							id: 'engine-1',
							service: 'engine',
							address: '10.0.0.1:80',
							availabilityZone: 'zone-a',
							slots: 8,
							isLeaving: false,
							coldMs: 0,
						},
					},
				},
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
) => {
	const self = memberOf('node-2', 'zone-a');
	const asked: string[] = [];
	const sharing = createPromptSharing({
		caches: {
			async events({id}) {
				asked.push(id);
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
		mirror: mirrorWithEngine(),
		questions: {
			promptsAfter: async (): Promise<FeedAnswer | undefined> => undefined,
		} as unknown as PeerQuestions,
		availabilityZone: 'zone-a',
		zones: ['zone-a', 'zone-b'],
		members: () => [
			self,
			memberOf('node-1', 'zone-a'),
			memberOf('node-3', 'zone-a'),
		],
		self: () => self,
		hasSettled: () => hasSettled,
		logger: createLogger('test'),
	});
	return {sharing, asked};
};

const none: ReadonlySet<'early-cache-events'> = new Set();

test('a node that has just started asks the engines of its zone, whoever has the duty', async (t: TestContext) => {
	const {sharing} = sharingOf(none, false);
	t.after(sharing.stop);
	sharing.tick();
	await until(() => sharing.keeps('engine-1', 'part'));
	t.assert.ok(sharing.keeps('engine-1', 'part'));
});

test('once nodes know of each other, one of the zone asks; switched off, nobody asks earlier', (t: TestContext) => {
	const settled = sharingOf(none, true);
	const late = sharingOf(new Set(['early-cache-events']), false);
	for (const {sharing} of [settled, late]) {
		t.after(sharing.stop);
		sharing.tick();
	}

	// The duty is another node's by the hash of the three names.
	t.assert.deepStrictEqual(settled.asked, []);
	t.assert.deepStrictEqual(late.asked, []);
});
