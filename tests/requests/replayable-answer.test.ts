import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createGatewayError, type Outcome} from '../../src/errors/index.ts';
import {
	createReplayableAnswer,
	maximumReplayLength,
	type Answer,
	type StreamEnd,
} from '../../src/requests/index.ts';

const complete = (length: number): Answer => ({
	kind: 'complete',
	status: 200,
	headers: {},
	body: Buffer.alloc(length),
	servedBy: undefined,
	tokens: 0,
});

const create = (run: () => Promise<Answer>) => {
	const ends: Outcome[] = [];
	const replayable = createReplayableAnswer(run, (outcome) => {
		ends.push(outcome);
	});
	return {replayable, ends};
};

const kindOf = (answer: Answer) =>
	answer.kind === 'refused' ? answer.error.kind : answer.kind;

test('a short answer can be read repeatedly', async () => {
	const {replayable, ends} = create(async () => complete(10));
	assert.deepEqual(await replayable.read(), await replayable.read());
	assert.deepEqual(ends, ['ran']);
});

test('a long answer goes to its first reader and is not stored', async () => {
	const {replayable} = create(async () => complete(maximumReplayLength + 1));
	assert.equal(kindOf(await replayable.read()), 'complete');
	assert.equal(kindOf(await replayable.read()), 'answer-not-kept');
});

test('an unexpected exception ends the request with the outcome unknown', async () => {
	const {replayable, ends} = create(async () => {
		throw new Error('unexpected');
	});
	assert.equal(kindOf(await replayable.read()), 'internal');
	assert.deepEqual(ends, ['unknown']);
});

test('a refusal ends the request with the outcome of its error', async () => {
	const {ends, replayable} = create(async () => ({
		kind: 'refused',
		error: createGatewayError('overloaded', ''),
	}));
	await replayable.read();
	assert.deepEqual(ends, ['not-run']);
});

test('a stream is read to its end without a reader, and every reader gets all of it', async () => {
	const pieces = async function* (): AsyncGenerator<string, StreamEnd, void> {
		yield 'a';
		yield 'b';
		return {kind: 'complete', tokens: 2};
	};

	const servedBy = {
		region: '',
		availabilityZone: '',
		target: '',
		attempts: 1,
		costPerThousandTokens: 0,
	};
	const {replayable, ends} = create(async () => ({
		kind: 'stream',
		status: 200,
		headers: {},
		pieces: pieces(),
		servedBy,
	}));
	const readers = await Promise.all([replayable.read(), replayable.read()]);
	for (const reader of readers) {
		assert.strictEqual(reader.kind, 'stream');
		let text = '';
		for (;;) {
			const next = await reader.pieces.next();
			if (next.done) {
				assert.equal(next.value.kind, 'complete');
				break;
			}

			text += next.value;
		}

		assert.equal(text, 'ab');
	}

	assert.deepEqual(ends, ['ran']);
});
