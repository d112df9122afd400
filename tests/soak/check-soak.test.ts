import {test, type TestContext} from 'node:test';
import {
	checkSoak,
	eventsPerStream,
	soakEventOf,
	type CallerRecord,
	type ServerEvent,
	type SoakHistory,
	type Violation,
} from '../../soak/index.ts';

const recordOf = (change: Partial<CallerRecord> = {}): CallerRecord => ({
	requestId: '0-1',
	kind: 'once',
	path: '/once/1',
	node: 0,
	sentAt: 0,
	status: 200,
	signature: 'a/0-1',
	body: '0-1',
	isWhole: true,
	latencyMs: 20,
	leftAt: Infinity,
	continues: undefined,
	isNamed: false,
	hasFatalPart: false,
	...change,
});

const eventFor = (change: Partial<ServerEvent> = {}): ServerEvent => ({
	at: 10,
	server: 'a',
	incarnation: 1,
	requestId: '0-1',
	resumedAfter: 0,
	isRun: true,
	hasFatalPart: false,
	softwareVersion: 'v1',
	isLeaving: false,
	backoffMs: undefined,
	limit: undefined,
	endedAt: 30,
	metSilence: false,
	cutAfterMs: undefined,
	...change,
});

const violatedBy = (
	history: Partial<SoakHistory>,
): ReadonlyArray<Violation['promise']> =>
	checkSoak({
		records: [],
		events: [],
		disturbances: [],
		wholeLosses: [],
		lostRoutes: [],
		fatalCrashes: [],
		falls: [],
		servers: 5,
		recoveredAt: Infinity,
		received: new Set(),
		peakMemoryMb: 0,
		...history,
	}).map(({promise}) => promise);

test('runs that nodes cut at silent servers while callers wait violate it, unless the caller left, time was over or the node was disturbed', (t: TestContext) => {
	const cut = {at: 1000, endedAt: 2200, metSilence: true, cutAfterMs: 1200};
	const play = (
		event: Partial<ServerEvent>,
		record: Partial<CallerRecord> = {},
		history: Partial<SoakHistory> = {},
	) =>
		violatedBy({
			records: [recordOf({kind: 'repeatable', sentAt: 990, ...record})],
			events: [eventFor(event)],
			...history,
		});
	t.assert.deepStrictEqual(play(cut), ['silence']);
	t.assert.deepStrictEqual(play({...cut, cutAfterMs: undefined}), []);
	t.assert.deepStrictEqual(play({...cut, cutAfterMs: 2500}), []);
	t.assert.deepStrictEqual(play(cut, {leftAt: 2000}), []);
	t.assert.deepStrictEqual(play({...cut, endedAt: 3990}), []);
	const disturbances = [{node: 0, from: 1500, until: 1600, isStop: false}];
	t.assert.deepStrictEqual(play(cut, {}, {disturbances}), []);
});

test('a second call that ends at a silent server because the first one answered is not a violation; a first call that is taken off its server is', (t: TestContext) => {
	const earlier = {server: 'a', at: 1000, endedAt: 3200};
	const later = {server: 'b', at: 2000, endedAt: 3200};
	const cut = {metSilence: true, cutAfterMs: 1200};
	const play = (
		first: Partial<ServerEvent>,
		second: Partial<ServerEvent>,
		signature: string,
	) =>
		violatedBy({
			records: [recordOf({kind: 'repeatable', sentAt: 990, signature})],
			events: [eventFor(first), eventFor(second)],
		}).filter((promise) => promise === 'silence');
	t.assert.deepStrictEqual(play(earlier, {...later, ...cut}, 'a/0-1'), []);
	t.assert.deepStrictEqual(play({...earlier, ...cut}, later, 'b/0-1'), [
		'silence',
	]);
	t.assert.deepStrictEqual(
		play({...earlier, endedAt: 2100}, {...later, ...cut}, 'a/0-1'),
		['silence'],
	);
});

const completeStream = Array.from({length: eventsPerStream}, (_, index) =>
	soakEventOf(index + 1, 'v1'),
).join('');

test('a history without violations yields none', (t: TestContext) => {
	t.assert.deepStrictEqual(
		violatedBy({
			records: [
				recordOf(),
				recordOf({requestId: '0-2', status: 503, signature: '', body: ''}),
				recordOf({
					requestId: '0-3',
					kind: 'stream',
					signature: 'a/0-3',
					body: completeStream,
				}),
			],
			events: [
				eventFor(),
				eventFor({requestId: '0-2', isRun: false}),
				eventFor({requestId: '0-3'}),
			],
			recoveredAt: 1,
		}),
		[],
	);
});

const violations: ReadonlyArray<
	readonly [string, Violation['promise'], Partial<SoakHistory>]
> = [
	[
		'two runs of a non-idempotent request',
		'at most once',
		{records: [recordOf()], events: [eventFor(), eventFor({server: 'b'})]},
	],
	[
		'events of two software versions in one answer',
		'one version',
		{
			records: [
				recordOf({
					kind: 'stream',
					isWhole: false,
					body: soakEventOf(1, 'v1') + soakEventOf(2, 'v2'),
				}),
			],
		},
	],
	[
		'a stream that is continued by another software version',
		'one version',
		{
			records: [
				recordOf({
					kind: 'stream',
					isWhole: false,
					body: soakEventOf(2, 'v2'),
					continues: recordOf({
						kind: 'stream',
						isWhole: false,
						body: soakEventOf(1, 'v1'),
					}),
				}),
			],
		},
	],
	[
		'refusals of all streams that are taken up',
		'continuation',
		{
			records: Array.from({length: 24}, (_, index) => {
				const begun = recordOf({
					kind: 'stream',
					isWhole: false,
					body: soakEventOf(1, 'v1'),
				});
				return index % 2 === 0
					? begun
					: recordOf({
							kind: 'stream',
							status: 503,
							body: '',
							continues: begun,
							isNamed: true,
						});
			}),
			events: [eventFor(), eventFor({server: 'b'})],
		},
	],
	[
		'more attempts than the route allows',
		'attempts',
		{
			records: [recordOf({kind: 'repeatable'})],
			events: [eventFor(), eventFor(), eventFor()],
		},
	],
	[
		'the answer of another request',
		'own answer',
		{records: [recordOf({body: '0-2'})], events: [eventFor()]},
	],
	[
		'a refusal of a request that ran',
		'refusal without run',
		{records: [recordOf({status: 503})], events: [eventFor()]},
	],
	[
		'a truncated stream that ends without an error',
		'complete stream',
		{
			records: [recordOf({kind: 'stream', body: soakEventOf(1, 'v1')})],
			events: [eventFor()],
		},
	],
	[
		'a request to a server that announced its shutdown',
		'leaving',
		{
			events: [
				eventFor({isLeaving: true}),
				eventFor({isLeaving: true, requestId: '0-2', at: 4000}),
			],
		},
	],
	[
		'three requests within a backoff',
		'backoff',
		{
			events: [10, 600, 700, 800].map((at, index) =>
				eventFor({at, requestId: `0-${index}`, isRun: false, backoffMs: 1500}),
			),
		},
	],
	[
		'more requests than the limit for all nodes together allows',
		'limit',
		{
			events: Array.from({length: 60}, (_, index) =>
				eventFor({
					at: index * 100,
					requestId: `${index % 3}-${index}`,
					limit: 4,
				}),
			),
		},
	],
	[
		'a 404 for a route that has to be in force',
		'configuration',
		{records: [recordOf({kind: 'added', path: '/added/2/1', status: 404})]},
	],
	[
		'work that continues for callers that disconnected',
		'cancellation',
		{
			records: Array.from({length: 10}, (_, index) =>
				recordOf({requestId: `0-${index}`, status: 0, leftAt: 25}),
			),
			events: Array.from({length: 10}, (_, index) =>
				eventFor({requestId: `0-${index}`, endedAt: 600}),
			),
		},
	],
	[
		'unserved callers after the recovery',
		'recovery',
		{records: [recordOf({status: 504, isWhole: false})], recoveredAt: 0},
	],
];

for (const [name, promise, history] of violations) {
	test(`the check finds ${name}`, (t: TestContext) => {
		t.assert.ok(violatedBy(history).includes(promise));
	});
}

test('a statement binds only the node that received it, until that node is disturbed', (t: TestContext) => {
	const statement = eventFor({isLeaving: true});
	const late = eventFor({isLeaving: true, requestId: '0-2', at: 4000});
	const atOtherNode = {...late, requestId: '1-2'};
	t.assert.deepStrictEqual(violatedBy({events: [statement, atOtherNode]}), []);
	t.assert.deepStrictEqual(
		violatedBy({
			events: [statement, late],
			disturbances: [{node: 0, from: 3000, until: 3500, isStop: false}],
		}),
		[],
	);
});

test('the check finds requests with a fatal part that reach servers long after its fifth crash', (t: TestContext) => {
	const fatalCrashes = [1, 2, 3, 4, 5].map((second) => second * 1000);
	const eventsAt = (at: number) =>
		Array.from({length: 4}, (_, index) =>
			eventFor({requestId: `0-${index}`, hasFatalPart: true, at: at + index}),
		);
	t.assert.deepStrictEqual(
		violatedBy({fatalCrashes, events: eventsAt(10_001)}),
		['fatal part'],
	);
	t.assert.deepStrictEqual(
		violatedBy({fatalCrashes, events: eventsAt(9000)}),
		[],
	);
});

test('crashes on a fatal part before all nodes were killed do not count with those after it', (t: TestContext) => {
	const fatalCrashes = [1, 2, 3, 14, 15].map((second) => second * 1000);
	const events = Array.from({length: 4}, () =>
		eventFor({hasFatalPart: true, at: 21_000}),
	);
	t.assert.deepStrictEqual(violatedBy({fatalCrashes, events}), ['fatal part']);
	t.assert.deepStrictEqual(
		violatedBy({fatalCrashes, events, wholeLosses: [10_000]}),
		[],
	);
	const later = [11, 12, 13, 14, 15].map((second) => second * 1000);
	t.assert.deepStrictEqual(
		violatedBy({fatalCrashes: later, events, wholeLosses: [10_000]}),
		['fatal part'],
	);
});

test('a 404 for a route that the registry has lost is no violation until it must be known again, if all nodes were killed meanwhile', (t: TestContext) => {
	const lostRoutes = [{awayAt: 10_000, until: 15_000, restoredVersion: 1}];
	const play = (
		record: Partial<CallerRecord>,
		wholeLosses: readonly number[] = [11_000],
	) =>
		violatedBy({
			records: [
				recordOf({
					kind: 'added',
					path: '/added/2/1',
					status: 404,
					sentAt: 12_000,
					...record,
				}),
			],
			lostRoutes,
			wholeLosses,
		});
	t.assert.deepStrictEqual(play({}), []);
	for (const [record, wholeLosses] of [
		[{}, []],
		[{}, [13_000]],
		[{}, [5000]],
		[{path: '/added/1/1'}, [11_000]],
		[{sentAt: 16_000}, [11_000]],
	] as const) {
		t.assert.deepStrictEqual(play(record, wholeLosses), ['configuration']);
	}
});

test('servers that fail under refusals of undisturbed nodes are a violation beyond two and a tenth of their number', (t: TestContext) => {
	const fall = {
		at: 9000,
		brittleSince: 0,
		refused: ['0-1', '1-1', '1-2', '1-3'],
	};
	const falls = [fall, fall];
	t.assert.deepStrictEqual(violatedBy({falls}), []);
	t.assert.deepStrictEqual(violatedBy({falls: [...falls, fall]}), ['refusals']);
	const later = {...fall, brittleSince: 8000};
	t.assert.deepStrictEqual(violatedBy({falls: [...falls, later]}), []);
	const disturbances = [{node: 1, from: 2000, until: 5000, isStop: false}];
	t.assert.deepStrictEqual(
		violatedBy({falls: [...falls, fall], disturbances}),
		[],
	);
});

test('a request that waited at a stopped node and ended unsent without a refusal is a violation', (t: TestContext) => {
	const disturbances = [{node: 0, from: 1000, until: 5000, isStop: true}];
	const waiting = recordOf({sentAt: 500, latencyMs: 2500, status: 0});
	const play = (
		change: Partial<CallerRecord>,
		history: Partial<SoakHistory> = {},
	) =>
		violatedBy({
			records: [{...waiting, ...change}],
			disturbances,
			...history,
		}).filter((promise) => promise === 'stop');
	t.assert.deepStrictEqual(play({}), ['stop']);
	t.assert.deepStrictEqual(play({status: 502}), ['stop']);
	t.assert.deepStrictEqual(play({status: 503}), []);
	t.assert.deepStrictEqual(play({leftAt: 900}), []);
	t.assert.deepStrictEqual(play({sentAt: 990}), []);
	t.assert.deepStrictEqual(play({latencyMs: 400}), []);
	t.assert.deepStrictEqual(play({latencyMs: 3500}), []);
	t.assert.deepStrictEqual(play({}, {received: new Set(['0-1'])}), []);
	t.assert.deepStrictEqual(
		play({}, {disturbances: [{...disturbances[0]!, isStop: false}]}),
		[],
	);
});

test('a node that takes more memory than the smallest VM has is a violation', (t: TestContext) => {
	t.assert.deepStrictEqual(violatedBy({peakMemoryMb: 350}), []);
	t.assert.deepStrictEqual(violatedBy({peakMemoryMb: 351}), ['memory']);
});

test('a restarted server that announces its shutdown anew has received no late request', (t: TestContext) => {
	const statement = eventFor({isLeaving: true});
	const late = eventFor({isLeaving: true, requestId: '0-2', at: 9000});
	t.assert.deepStrictEqual(violatedBy({events: [statement, late]}), [
		'leaving',
	]);
	t.assert.deepStrictEqual(
		violatedBy({events: [statement, {...late, incarnation: 2}]}),
		[],
	);
});
