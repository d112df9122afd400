import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {
	createCacheReader,
	cacheReadIntervalMs,
	cacheRetryIntervalMs,
	type CacheAnswer,
	type PromptChange,
	type CacheEngine,
} from '../../src/prompts/index.ts';

const engine: CacheEngine = {id: 'a', address: '10.0.0.1:80'};

const setUp = ({mock}: TestContext, answers: readonly CacheAnswer[]) => {
	mock.timers.enable({apis: ['setTimeout']});
	const requested: number[] = [];
	const published: PromptChange[] = [];
	let engines: readonly CacheEngine[] = [engine];
	const reader = createCacheReader({
		source: {
			async events(_engine, since) {
				requested.push(since);
				return (
					answers[requested.length - 1] ?? {kind: 'unavailable', reason: 'over'}
				);
			},
			close: async () => undefined,
		},
		engines: () => engines,
		publish(changes) {
			published.push(...changes);
		},
		minimumIntervalMs: () => 0,
		backoffMs: () => 0,
		clock: () => 0,
		onHead: () => undefined,
		minimumTokens: 512,
		logger: createLogger('test'),
	});
	const pass = async (milliseconds: number) => {
		mock.timers.tick(milliseconds);
		for (let turn = 0; turn < 10; turn += 1) {
			await Promise.resolve();
		}
	};

	return {
		reader,
		requested,
		published,
		pass,
		loseRole() {
			engines = [];
		},
	};
};

const eventsOf = (
	epoch: string,
	next: number,
	...events: ReadonlyArray<readonly [part: string, tokens: number]>
): CacheAnswer => ({
	kind: 'events',
	epoch,
	next,
	events: events.map(([part, tokens]) => ({part, tokens})),
});

test('a read continues where the last answer ended, and short parts are left out', async (t: TestContext) => {
	const {reader, requested, published, pass} = setUp(t, [
		eventsOf('one', 4, ['p', 13_000], ['short', 90]),
		eventsOf('one', 6, ['p', 0]),
	]);
	reader.tick();
	await pass(0);
	await pass(cacheReadIntervalMs);
	t.assert.deepStrictEqual(requested, [0, 4]);
	t.assert.deepStrictEqual(published, [
		['a', 'p', 13_000],
		['a', 'p', 0],
	]);
	reader.stop();
});

test('a restart of an engine clears what was known of its cache', async (t: TestContext) => {
	const {reader, published, pass} = setUp(t, [
		eventsOf('one', 4, ['p', 13_000]),
		eventsOf('two', 1, ['q', 13_000]),
	]);
	reader.tick();
	await pass(0);
	await pass(cacheReadIntervalMs);
	t.assert.deepStrictEqual(published, [
		['a', 'p', 13_000],
		['a', '', 0],
		['a', 'q', 13_000],
	]);
	reader.stop();
});

test('an engine that does not answer is read again later, unless the role was lost', async (t: TestContext) => {
	const {reader, requested, pass, loseRole} = setUp(t, []);
	reader.tick();
	await pass(0);
	await pass(cacheRetryIntervalMs - 1);
	t.assert.strictEqual(requested.length, 1);
	await pass(1);
	t.assert.strictEqual(requested.length, 2);
	loseRole();
	reader.tick();
	await pass(cacheRetryIntervalMs);
	t.assert.strictEqual(requested.length, 2);
});
