import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	crashProbeIntervalMs,
	createCrashWatch,
	maximumWatchedIncarnations,
	crashEvidenceWindowMs,
	type ObservedCrash,
} from '../../src/quarantine/index.ts';

const setUp = () => {
	const probed: string[] = [];
	const crashes: ObservedCrash[] = [];
	const watch = createCrashWatch({
		probe(server) {
			probed.push(server);
		},
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	const broke = (
		fingerprint: string,
		now: number,
		incarnationId = 'engine 1',
		partFingerprints: readonly string[] = [],
	) => {
		watch.connectionBroken(
			{
				server: 'engine',
				incarnationId,
				fingerprint,
				partFingerprints,
				sentAt: now - 10,
			},
			now,
		);
	};

	return {watch, broke, probed, crashes};
};

test('a broken connection is not a crash, and the server is probed once', () => {
	const {watch, broke, probed, crashes} = setUp();
	broke('a', 100);
	broke('b', 110);
	assert.deepEqual(probed, ['engine']);
	watch.crashRuledOut('engine 1');
	watch.entryRemoved('engine 1');
	assert.deepEqual(crashes, []);
	broke('c', 110 + crashProbeIntervalMs);
	assert.equal(probed.length, 2);
});

test('a refused connection reports all requests in flight, including those whose connections break later', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	broke('b', 110);
	watch.connectionRefused('engine 1', 120);
	broke('c', 130);
	assert.deepEqual(
		crashes.map(({incarnationId, at, runs}) => [
			incarnationId,
			at,
			runs.map(({fingerprint, sentAt}) => `${fingerprint} ${sentAt}`),
		]),
		[
			['engine 1', 100, ['a 90', 'b 100']],
			['engine 1', 100, ['c 120']],
		],
	);
});

test('the removal of an entry proves the crash of its incarnation, and of no other', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	watch.entryRemoved('engine 0');
	assert.equal(crashes.length, 0);
	watch.entryRemoved('engine 1');
	assert.equal(crashes.length, 1);
});

test('an old broken connection proves nothing, and the number of watched incarnations is bounded', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100);
	watch.tick(100 + crashEvidenceWindowMs + 1);
	watch.entryRemoved('engine 1');
	for (let index = 0; index <= maximumWatchedIncarnations; index += 1) {
		broke('a', 10_000, `incarnation ${index}`);
	}

	watch.entryRemoved('incarnation 0');
	assert.equal(crashes.length, 0);
	watch.entryRemoved('incarnation 1');
	assert.equal(crashes.length, 1);
});

test('a crash states each part of the prompts in flight once, with its latest send and the number of its requests', () => {
	const {watch, broke, crashes} = setUp();
	broke('a', 100, 'engine 1', ['common', 'own a']);
	broke('b', 120, 'engine 1', ['common', 'own b']);
	watch.connectionRefused('engine 1', 130);
	assert.deepEqual(crashes[0]?.parts, [
		{fingerprint: 'common', sentAt: 110, runs: 2},
		{fingerprint: 'own a', sentAt: 90, runs: 1},
		{fingerprint: 'own b', sentAt: 110, runs: 1},
	]);
});
