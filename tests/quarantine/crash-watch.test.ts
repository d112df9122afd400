import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	askAgainMs,
	createCrashWatch,
	maximumWatched,
	proofWithinMs,
	type Crash,
} from '../../src/quarantine/index.ts';

const setUp = () => {
	const asked: string[] = [];
	const crashes: Crash[] = [];
	const watch = createCrashWatch({
		ask(server) {
			asked.push(server);
		},
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	const broke = (fingerprint: string, now: number, life = 'engine 1') => {
		watch.broke({server: 'engine', life, fingerprint, sentAt: now - 10}, now);
	};

	return {watch, broke, asked, crashes};
};

test('a connection that breaks is no crash, and the server is asked once', () => {
	const {watch, broke, asked, crashes} = setUp();
	broke('a', 100);
	broke('b', 110);
	assert.deepEqual(asked, ['engine']);
	watch.acquitted('engine 1');
	watch.gone('engine 1');
	assert.deepEqual(crashes, []);
	broke('c', 110 + askAgainMs);
	assert.equal(asked.length, 2);
});

test('where nobody listens any more, all that was under way is told, later breaks too', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	broke('b', 110);
	watch.refused('engine 1', 120);
	broke('c', 130);
	assert.deepEqual(
		crashes.map(({life, at, runs}) => [
			life,
			at,
			runs.map(({fingerprint, sentAt}) => `${fingerprint} ${sentAt}`),
		]),
		[
			['engine 1', 100, ['a 90', 'b 100']],
			['engine 1', 100, ['c 120']],
		],
	);
});

test('an entry that goes proves the crash of its life, and of no other', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	watch.gone('engine 0');
	assert.equal(crashes.length, 0);
	watch.gone('engine 1');
	assert.equal(crashes.length, 1);
});

test('an old break proves nothing, and what is remembered is bounded', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	watch.tick(100 + proofWithinMs + 1);
	watch.gone('engine 1');
	for (let index = 0; index <= maximumWatched; index += 1) {
		broke('a', 10_000, `life ${index}`);
	}

	watch.gone('life 0');
	assert.equal(crashes.length, 0);
	watch.gone('life 1');
	assert.equal(crashes.length, 1);
});
