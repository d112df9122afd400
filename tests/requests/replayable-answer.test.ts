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

const keep = (run: () => Promise<Answer>) => {
	const ends: Outcome[] = [];
	const kept = createReplayableAnswer(run, (outcome) => {
		ends.push(outcome);
	});
	return {kept, ends};
};

const kindOf = (answer: Answer) =>
	answer.kind === 'refused' ? answer.error.kind : answer.kind;

test('a short answer can be read again and again', async () => {
	const {kept, ends} = keep(async () => complete(10));
	assert.deepEqual(await kept.read(), await kept.read());
	assert.deepEqual(ends, ['ran']);
});

test('a long answer goes to its first reader and is not kept', async () => {
	const {kept} = keep(async () => complete(maximumReplayLength + 1));
	assert.equal(kindOf(await kept.read()), 'complete');
	assert.equal(kindOf(await kept.read()), 'answer-not-kept');
});

test('an unexpected error ends the request as unknown', async () => {
	const {kept, ends} = keep(async () => {
		throw new Error('unexpected');
	});
	assert.equal(kindOf(await kept.read()), 'internal');
	assert.deepEqual(ends, ['unknown']);
});

test('a refusal ends with its own outcome', async () => {
	const {ends, kept} = keep(async () => ({
		kind: 'refused',
		error: createGatewayError('overloaded', ''),
	}));
	await kept.read();
	assert.deepEqual(ends, ['not-run']);
});

test('a stream goes on when nobody reads it, and all readers get the whole of it', async () => {
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
	const {kept, ends} = keep(async () => ({
		kind: 'stream',
		status: 200,
		headers: {},
		pieces: pieces(),
		servedBy,
	}));
	const readers = await Promise.all([kept.read(), kept.read()]);
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
