import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Result} from 'true-myth';
import {createGatewayError} from '../../src/errors/index.ts';
import type {OpenAttempt, Progress} from '../../src/requests/attempt.ts';
import {
	createStreamRelay,
	stallTimeoutMs,
	type Attempts,
	type GatewayRequest,
} from '../../src/requests/index.ts';

const deadline = 60_000;

const eventOf = (attemptId: string, index: number | 'end') =>
	Buffer.from(`id: ${attemptId}:${index}\ndata: ${index}\n\n`);

// An attempt whose chunks a test sends.
const createAttempt = (attemptId: string) => {
	const chunks: Buffer[] = [];
	const ends: string[] = [];
	let wake: () => void = () => undefined;
	const abort = new AbortController();
	const body = async function* () {
		for (;;) {
			const chunk = chunks.shift();
			if (chunk) {
				yield chunk;
				continue;
			}

			const {promise, resolve, reject} = Promise.withResolvers<undefined>();
			wake = () => {
				resolve(undefined);
			};

			abort.signal.addEventListener('abort', () => {
				reject(new Error('aborted'));
			});
			await promise;
		}
	};

	const attempt = {
		attemptId,
		target: {kind: 'backend-server', server: {id: attemptId}},
		upstream: {status: 200, headers: {}, body: body()},
		startedAt: 0,
		abort,
		finish(end: string) {
			ends.push(end);
		},
	} as unknown as OpenAttempt;
	return {
		attempt,
		ends,
		send(index: number | 'end') {
			chunks.push(eventOf(attemptId, index));
			wake();
		},
	};
};

type Resume = Attempts['openBeside'];

const play = (t: TestContext, resume: Resume) => {
	t.mock.timers.enable({apis: ['setInterval']});
	let now = 0;
	const first = createAttempt('first');
	const attempts = {
		openBeside: resume,
		handleFailure: () =>
			Result.err(createGatewayError('stream-broken', 'broken')),
		observeFirstToken: () => undefined,
	} as unknown as Attempts;
	const relay = createStreamRelay(attempts, () => now);
	const request = {
		deadline,
		signal: new AbortController().signal,
	} as unknown as GatewayRequest;
	const progress: Progress = {
		attempts: 1,
		outcome: 'not-run',
		excluded: new Set(),
		isForwarded: false,
	};
	return {
		first,
		pieces: relay(request, progress, first.attempt),
		async pass(milliseconds: number) {
			for (let passed = 0; passed < milliseconds; passed += 1000) {
				now += 1000;
				t.mock.timers.tick(1000);
				await setImmediate();
			}
		},
	};
};

const textsOf = async (
	pieces: ReturnType<typeof play>['pieces'],
): Promise<readonly string[]> => {
	const texts: string[] = await Array.fromAsync(pieces);

	return texts;
};

const noResumption: Resume = async () => undefined;

test('a stream whose engine falls silent and goes on is relayed whole, however long it was silent', async (t: TestContext) => {
	const {first, pieces, pass} = play(t, noResumption);
	const all = textsOf(pieces);
	first.send(0);
	await pass(4 * stallTimeoutMs);
	t.assert.deepStrictEqual(first.ends, []);
	first.send(1);
	first.send('end');
	t.assert.strictEqual((await all).length, 3);
	t.assert.strictEqual(first.ends[0], 'answered');
});

test('a stream is resumed beside a silent attempt, which is given up only for the next events', async (t: TestContext) => {
	const second = createAttempt('second');
	let resumedFrom: number | undefined;
	const opened = Promise.withResolvers<OpenAttempt>();
	const {first, pieces, pass} = play(t, async (_request, _progress, stream) => {
		resumedFrom = stream.resumeFrom;
		return opened.promise;
	});
	const all = textsOf(pieces);
	first.send(0);
	await pass(stallTimeoutMs + 2000);
	t.assert.strictEqual(resumedFrom, 1);
	t.assert.deepStrictEqual(first.ends, []);
	second.send(1);
	second.send('end');
	opened.resolve(second.attempt);
	t.assert.strictEqual((await all).length, 3);
	t.assert.strictEqual(first.ends[0], 'canceled');
	t.assert.strictEqual(second.ends[0], 'answered');
});

test('a resumption is canceled if the silent attempt goes on first', async (t: TestContext) => {
	const second = createAttempt('second');
	const opened = Promise.withResolvers<OpenAttempt>();
	let signal: AbortSignal | undefined;
	const {first, pieces, pass} = play(t, async (request) => {
		signal = request.signal;
		return opened.promise;
	});
	const all = textsOf(pieces);
	first.send(0);
	await pass(stallTimeoutMs + 2000);
	first.send(1);
	first.send('end');
	t.assert.strictEqual((await all).length, 3);
	t.assert.ok(signal?.aborted);
	opened.resolve(second.attempt);
	await setImmediate();
	t.assert.deepStrictEqual(second.ends, ['canceled']);
});

test('a stream that is silent at its deadline is broken off', async (t: TestContext) => {
	const {first, pieces, pass} = play(t, noResumption);
	const all = textsOf(pieces);
	first.send(0);
	await pass(deadline - 1000);
	t.assert.deepStrictEqual(first.ends, []);
	await pass(stallTimeoutMs + 3000);
	await all;
	t.assert.strictEqual(first.ends[0], 'failed');
});
