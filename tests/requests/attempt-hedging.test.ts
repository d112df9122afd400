import {test, type TestContext} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {EngineClient, UpstreamAnswer} from '../../src/engines/index.ts';
import {createGatewayError} from '../../src/errors/index.ts';
import type {AttemptEnd, FleetEvent} from '../../src/fleet/index.ts';
import {silentLogger} from '../../src/logging/index.ts';
import {
	createAttemptHedging,
	type AttemptHedgingOptions,
} from '../../src/requests/attempt-hedging.ts';
import {
	maximumAttempts,
	type AttemptTarget,
	type OpenAttempt,
	type Progress,
} from '../../src/requests/attempt.ts';
import {
	createAttempts,
	type AttemptOptions,
	type GatewayRequest,
} from '../../src/requests/index.ts';
import type {AttemptFailure} from '../../src/retries/index.ts';
import {exampleConfiguration, requestFor} from '../fixtures.ts';

const halfMs = 2000;

const progressOf = (change: Partial<Progress> = {}): Progress => ({
	attempts: 0,
	outcome: 'not-run',
	excluded: new Set(),
	isForwarded: false,
	...change,
});

const targetOf = (id: string) =>
	({
		kind: 'backend-server',
		server: {id, address: '127.0.0.1:1'},
	}) as unknown as AttemptTarget;

const requestOf = (change: Partial<GatewayRequest> = {}): GatewayRequest =>
	requestFor(exampleConfiguration(), {deadline: 2 * halfMs, ...change});

// Attempts of which only the second one answers.
const setUp = (change: Partial<AttemptHedgingOptions> = {}) => {
	const begun: string[] = [];
	const hedging = createAttemptHedging(
		{
			clock: () => 0,
			chooser: {choose: () => targetOf('second')},
			budget: {hasRetry: () => true, spend: () => undefined},
			quarantine: {statusOf: () => ({kind: 'clear'})},
			issueAttemptId: () => 'attempt',
			logger: silentLogger,
			...change,
		},
		async ({target}) => {
			begun.push(target.kind === 'peer' ? '' : target.server.id);
			return begun.length === 1
				? Promise.withResolvers<never>().promise
				: Result.ok({target} as unknown as OpenAttempt);
		},
	);
	return {hedging, begun};
};

test('a second attempt begins elsewhere at half of the remaining time', async (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const {hedging, begun} = setUp();
	const progress = progressOf();
	const first = {target: targetOf('first'), resumeFrom: 0};
	const result = hedging.begin(requestOf(), progress, first);
	t.mock.timers.tick(halfMs - 1);
	await setImmediate();
	t.assert.deepStrictEqual(begun, ['first']);
	t.mock.timers.tick(1);
	t.assert.ok((await result).isOk);
	t.assert.deepStrictEqual(begun, ['first', 'second']);
	t.assert.strictEqual(progress.attempts, 2);
});

test('a request has no second attempt if it must not be repeated, was forwarded, has no attempt or budget left, or may crash servers', (t: TestContext) => {
	const isAllowed = (
		request: Partial<GatewayRequest> = {},
		progress: Partial<Progress> = {},
		options: Partial<AttemptHedgingOptions> = {},
	) =>
		setUp(options).hedging.isAllowed(requestOf(request), progressOf(progress));
	t.assert.ok(isAllowed());
	t.assert.ok(!isAllowed({isRepeatable: false}));
	t.assert.ok(!isAllowed({}, {isForwarded: true}));
	t.assert.ok(!isAllowed({}, {attempts: maximumAttempts}));
	const budget = {hasRetry: () => false, spend: () => undefined};
	t.assert.ok(!isAllowed({}, {}, {budget}));
	const quarantine = {statusOf: () => ({kind: 'suspect', crashes: 1}) as const};
	t.assert.ok(!isAllowed({}, {}, {quarantine}));
});

test('an attempt that is canceled for another one counts neither as a failure of its server nor as a crash', async (t: TestContext) => {
	const fleetEvents: FleetEvent[] = [];
	const ends: AttemptEnd[] = [];
	const engines: Pick<EngineClient, 'send'> = {
		send: async (_address, {signal}) =>
			new Promise<Result<UpstreamAnswer, AttemptFailure>>((resolve) => {
				signal.addEventListener('abort', () => {
					const error = createGatewayError('attempt-failed', 'aborted');
					resolve(Result.err({outcome: 'unknown', isStated: false, error}));
				});
			}),
	};
	const attempts = createAttempts({
		clock: () => 0,
		fleet: {
			handle(event: FleetEvent) {
				fleetEvents.push(event);
			},
		},
		engines,
		capacity: {notify: () => undefined},
		quarantine: {
			incarnationOf: () => undefined,
			recordEnd(
				_request: GatewayRequest,
				_incarnation: unknown,
				end: AttemptEnd,
			) {
				ends.push(end);
			},
		},
		limits: {recordSent: () => undefined},
		logger: silentLogger,
	} as unknown as AttemptOptions);
	const cancellation = new AbortController();
	const begun = attempts.begin({
		request: requestOf(),
		progress: progressOf(),
		target: targetOf('first'),
		attemptId: 'attempt',
		resumeFrom: 0,
		cancellation: cancellation.signal,
	});
	cancellation.abort();
	t.assert.ok((await begun).isErr);
	t.assert.deepStrictEqual(ends, ['canceled']);
	t.assert.deepStrictEqual(
		fleetEvents.map((event) => 'end' in event && event.end),
		[false, 'canceled'],
	);
});
