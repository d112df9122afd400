import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RequestLine} from '../../tools/account/cause.ts';
import {accountBySize} from '../../tools/account/sizes.ts';

const lineOf = (size: number, end: string, node = 'zone-a-1'): RequestLine => ({
	at: 1,
	node,
	route: 'digest',
	result: end === 'complete' ? 'answered' : 'broken',
	outcome: 'ran',
	reason: '',
	steps: 'server a',
	firstByteMs: 100,
	waitedMs: 10,
	totalMs: 1000,
	targetMs: 400,
	status: 200,
	stream: {
		size,
		end,
		remainingAtStartMs: 12_000,
		chunks: 10,
		chunkIntervalMs: 50,
		loadAtStart: 8,
	},
});

test('streams are counted by size class: the largest tenth, the fifth below it and the others', () => {
	const lines = Array.from({length: 20}, (_, index) =>
		lineOf(index, index >= 18 ? 'deadline' : 'complete'),
	);
	const rows = accountBySize(lines).filter(({zone}) => zone === 'all');
	assert.deepEqual(
		rows.map(({sizeClass, streams, served, cutAtDeadline}) => [
			sizeClass,
			streams,
			served,
			cutAtDeadline,
		]),
		[
			['all', 20, 18, 2],
			['largest tenth', 2, 0, 2],
			['fifth below it', 4, 4, 0],
			['the others', 14, 14, 0],
		],
	);
});

test('the size classes of a zone are those of the whole route', () => {
	const lines = [
		...Array.from({length: 9}, (_, index) => lineOf(index, 'complete')),
		lineOf(100, 'upstream-failure', 'zone-b-2'),
	];
	const ofZone = accountBySize(lines).filter(({zone}) => zone === 'zone-b');
	assert.deepEqual(
		ofZone.map(({sizeClass, cutByFailure}) => [sizeClass, cutByFailure]),
		[
			['all', 1],
			['largest tenth', 1],
		],
	);
});
