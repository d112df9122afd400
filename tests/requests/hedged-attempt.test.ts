import {test, type TestContext} from 'node:test';
import {Result} from 'true-myth';
import {createGatewayError} from '../../src/errors/index.ts';
import type {OpenAttempt} from '../../src/requests/attempt.ts';
import {
	openHedged,
	type PendingAttempt,
} from '../../src/requests/hedged-attempt.ts';
import type {AttemptFailure} from '../../src/retries/index.ts';

const delayMs = 1;

const failure: AttemptFailure = {
	outcome: 'unknown',
	isStated: false,
	error: createGatewayError('attempt-failed', 'failed'),
};

const createAttempt = (attemptId: string) => {
	const {promise, resolve} =
		Promise.withResolvers<Result<OpenAttempt, AttemptFailure>>();
	const state = {isCanceled: false};
	const attempt: PendingAttempt = {
		opened: promise,
		cancel() {
			state.isCanceled = true;
		},
	};
	return {
		attempt,
		state,
		answer() {
			resolve(Result.ok({attemptId} as unknown as OpenAttempt));
		},
		fail() {
			resolve(Result.err(failure));
		},
	};
};

const play = () => {
	const first = createAttempt('first');
	const second = createAttempt('second');
	const begun = Promise.withResolvers<undefined>();
	const result = openHedged(first.attempt, delayMs, () => {
		begun.resolve(undefined);
		return second.attempt;
	});
	return {first, second, begun: begun.promise, result};
};

const idOf = (result: Awaited<ReturnType<typeof openHedged>>) =>
	result.isOk ? result.value.attemptId : undefined;

test('no second attempt begins if the first one answers or fails in time', async (t: TestContext) => {
	for (const end of ['answer', 'fail'] as const) {
		const {first, result} = play();
		first[end]();
		const {isOk} = await result;
		t.assert.strictEqual(isOk, end === 'answer');
	}
});

test('the first of two attempts to answer is returned, and only the other one is canceled', async (t: TestContext) => {
	for (const winner of ['first', 'second'] as const) {
		const scene = play();
		await scene.begun;
		t.assert.ok(!scene.first.state.isCanceled);
		scene[winner].answer();
		t.assert.strictEqual(idOf(await scene.result), winner);
		t.assert.strictEqual(scene.first.state.isCanceled, winner === 'second');
		t.assert.strictEqual(scene.second.state.isCanceled, winner === 'first');
	}
});

test('a failure of one of two attempts leaves the other one open', async (t: TestContext) => {
	const scene = play();
	await scene.begun;
	scene.second.fail();
	scene.first.answer();
	t.assert.strictEqual(idOf(await scene.result), 'first');
	t.assert.ok(!scene.first.state.isCanceled);
});

test('both failures are returned if both attempts fail', async (t: TestContext) => {
	const scene = play();
	await scene.begun;
	scene.first.fail();
	scene.second.fail();
	const result = await scene.result;
	t.assert.deepStrictEqual(result.isErr && result.error, [failure, failure]);
});

test('the first attempt stays open if there can be no second one', async (t: TestContext) => {
	const first = createAttempt('first');
	const result = openHedged(first.attempt, delayMs, () => {
		setTimeout(first.answer, delayMs);
		return undefined;
	});
	t.assert.strictEqual(idOf(await result), 'first');
	t.assert.ok(!first.state.isCanceled);
});
