import {test, type TestContext} from 'node:test';
import type {Exchange, ResponseSink} from '../../../src/gateway/exchange.ts';
import type {ReceivedRequest} from '../../../src/gateway/intake/caller-listener.ts';
import type {NodeOverload} from '../../../src/gateway/intake/node-overload.ts';
import {createRequestIntake} from '../../../src/gateway/intake/request-intake.ts';
import type {GatewayError} from '../../../src/errors/index.ts';
import {createRouteTable} from '../../../src/routes/index.ts';
import {documentOf, names, routeOf} from '../fixtures.ts';
import {budgetOf} from '../../memory-budget/fixtures.ts';
import {createOpenResponses} from '../../../src/gateway/intake/open-responses.ts';

const now = 10_000;
const timeoutMs = 4000;

const requestOf = (change: Partial<ReceivedRequest> = {}): ReceivedRequest => ({
	method: 'POST',
	target: '/a/b',
	host: 'site.example',
	rawHeaders: [],
	header: (name) => (name === names.requestId ? 'request-1' : undefined),
	body: undefined,
	bodyMs: 0,
	isFirst: false,
	...change,
});

const setUp = ({
	socketWaitMs = 0,
	overload,
}: {
	readonly socketWaitMs?: number;
	readonly overload?: NodeOverload;
} = {}) => {
	const delivered: Exchange[] = [];
	const refused: GatewayError[] = [];
	const intake = createRequestIntake({
		openResponses: createOpenResponses(),
		memory: budgetOf(),
		deliveries: {
			deliver(exchange) {
				delivered.push(exchange);
				return {callerLeft: () => undefined};
			},
			tick: () => undefined,
			cancelQuarantined: () => undefined,
			count: () => 0,
			queuedCount: () => 0,
			keptBytes: () => 0,
			dispatchQueue: () => undefined,
			waiting: () => ({count: 0, urgency: 9}),
		},
		observer: {
			record: () => undefined,
			rejected: () => undefined,
			admission: () => undefined,
			hedge: () => undefined,
			badStatement: () => undefined,
			tick: () => undefined,
			metrics: async () => '',
		},
		admission: {
			leave: () => undefined,
			endsAt: () => Infinity,
			admits: () => true,
		},
		requestDeferral: {
			schedule(run) {
				run();
				return () => undefined;
			},
		},
		overload,
		socketWaitMs: () => socketWaitMs,
		admit: () => ({kind: 'admitted'}),
		without: new Set(),
		readContext: () => ({
			names,
			routes: createRouteTable(documentOf({routes: [routeOf({timeoutMs})]})),
			areRoutesFresh: true,
			now,
		}),
	});
	const sink: ResponseSink = {
		begin: () => undefined,
		write: () => true,
		end: () => undefined,
		abort: () => undefined,
		refuse(error) {
			refused.push(error);
		},
		onDrain: () => undefined,
	};
	return {delivered, refused, intake, sink};
};

test('the time limit of a request counts from its head, not from the end of its body', (t: TestContext) => {
	const {delivered, intake, sink} = setUp();
	intake.handle(requestOf({bodyMs: 900}), sink);
	t.assert.strictEqual(delivered[0]?.receivedAt, now - 900);
	t.assert.strictEqual(delivered[0].expiresAt, now - 900 + timeoutMs);
});

test('the time limit of a request counts the wait in its socket', (t: TestContext) => {
	const {delivered, intake, sink} = setUp({socketWaitMs: 400});
	intake.handle(requestOf({bodyMs: 100}), sink);
	t.assert.strictEqual(delivered[0]?.expiresAt, now - 500 + timeoutMs);
});

test('an overloaded node refuses a request before it is delivered, as not run and with a time to come back', (t: TestContext) => {
	const {delivered, refused, intake, sink} = setUp({
		overload: {
			tick: () => undefined,
			admits: () => false,
			retryAfterSeconds: () => 0.7,
			refusedFraction: () => 0.5,
		},
	});
	intake.handle(requestOf(), sink);
	t.assert.strictEqual(delivered.length, 0);
	t.assert.strictEqual(refused[0]?.outcome, 'not-run');
	t.assert.strictEqual(refused[0].retryAfterSeconds, 0.7);
});
