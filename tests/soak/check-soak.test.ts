import {test, type TestContext} from 'node:test';
import {
	checkSoak,
	eventsPerStream,
	type CallerRecord,
	type ServerEvent,
	type SoakHistory,
	type Violation,
} from '../../soak/index.ts';
import {eventOf} from '../../stand-ins/registered-server.ts';

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
	...change,
});

const eventFor = (change: Partial<ServerEvent> = {}): ServerEvent => ({
	at: 10,
	server: 'a',
	requestId: '0-1',
	resumedAfter: 0,
	isRun: true,
	isLeaving: false,
	backoffMs: undefined,
	limit: undefined,
	endedAt: 30,
	...change,
});

const promisesOf = (
	history: Partial<SoakHistory>,
): ReadonlyArray<Violation['promise']> =>
	checkSoak({
		records: [],
		events: [],
		disturbances: [],
		recoveredAt: Infinity,
		...history,
	}).map(({promise}) => promise);

const wholeStream = Array.from({length: eventsPerStream}, (_, index) =>
	eventOf(index + 1),
).join('');

test('a history in which all was kept has no violation', (t: TestContext) => {
	t.assert.deepStrictEqual(
		promisesOf({
			records: [
				recordOf(),
				recordOf({requestId: '0-2', status: 503, signature: '', body: ''}),
				recordOf({
					requestId: '0-3',
					kind: 'stream',
					signature: 'a/0-3',
					body: wholeStream,
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

const planted: ReadonlyArray<
	readonly [string, Violation['promise'], Partial<SoakHistory>]
> = [
	[
		'a request that may run once and runs twice',
		'at most once',
		{records: [recordOf()], events: [eventFor(), eventFor({server: 'b'})]},
	],
	[
		'a request at more servers than its route allows',
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
		'a refusal of what has run',
		'true refusal',
		{records: [recordOf({status: 503})], events: [eventFor()]},
	],
	[
		'a stream that ends early and looks whole',
		'whole stream',
		{
			records: [recordOf({kind: 'stream', body: eventOf(1)})],
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
		'three requests within a rest',
		'rest',
		{
			events: [10, 600, 700, 800].map((at, index) =>
				eventFor({at, requestId: `0-${index}`, isRun: false, backoffMs: 1500}),
			),
		},
	],
	[
		'more requests than a limit of all nodes allows',
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
		'a route refused as unknown though it must be in force',
		'configuration',
		{records: [recordOf({kind: 'added', path: '/added/2/1', status: 404})]},
	],
	[
		'work that goes on for callers that left',
		'gone',
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
		'callers that are not served when all is sound again',
		'recovery',
		{records: [recordOf({status: 504, isWhole: false})], recoveredAt: 0},
	],
];

for (const [name, promise, history] of planted) {
	test(`the check finds ${name}`, (t: TestContext) => {
		t.assert.ok(promisesOf(history).includes(promise));
	});
}

test('a statement binds the node that was told, until that node is disturbed', (t: TestContext) => {
	const told = eventFor({isLeaving: true});
	const late = eventFor({isLeaving: true, requestId: '0-2', at: 4000});
	const ofAnother = {...late, requestId: '1-2'};
	t.assert.deepStrictEqual(promisesOf({events: [told, ofAnother]}), []);
	t.assert.deepStrictEqual(
		promisesOf({
			events: [told, late],
			disturbances: [{node: 0, from: 3000, until: 3500}],
		}),
		[],
	);
});
