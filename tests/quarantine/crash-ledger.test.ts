import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	createCrashLedger,
	crashRetentionMs,
	minimumCrashes,
	firstQuarantineMs,
	maximumCrashes,
	maximumRunsPerCrash,
	crashReportWindowMs,
	type Crash,
	type CrashLedger,
} from '../../src/quarantine/index.ts';

const crashOf = (
	incarnationId: string,
	at: number,
	runs: Readonly<Record<string, number>>,
): Crash => ({
	incarnationId,
	at,
	runs: Object.entries(runs).map(([fingerprint, sentAt]) => ({
		fingerprint,
		sentAt,
	})),
});

const settled = (ledger: CrashLedger, now: number): readonly string[] =>
	ledger
		.evaluate(now + crashReportWindowMs)
		.map(({fingerprint}) => fingerprint);

// Three crashes in turn, each with its own company.
const findOut = (ledger: CrashLedger, from = 0): readonly string[] => {
	const found: string[] = [];
	for (let index = 0; index < minimumCrashes; index += 1) {
		const at = from + 1000 * (index + 1);
		const incarnationId = `life ${from} ${index}`;
		const company = {[`other ${incarnationId}`]: at - 300};
		ledger.addCrash(
			crashOf(incarnationId, at, {fatal: at - 50, ...company}),
			at,
		);
		found.push(...settled(ledger, at));
	}

	return found;
};

test('a request at three crashes in turn is found out, once all is heard; its company never', (t: TestContext) => {
	const ledger = createCrashLedger();
	t.assert.deepStrictEqual(findOut(ledger), ['fatal']);
	t.assert.strictEqual(ledger.status('fatal', 4000).kind, 'quarantined');
	t.assert.strictEqual(ledger.status('other life 0 0', 4000).kind, 'clear');
});

test('until the others had time to tell of the third crash, it is held back', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		ledger.addCrash(crashOf(`life ${at}`, at, {fatal: at - 50}), at);
	}

	t.assert.strictEqual(ledger.status('fatal', 3010).kind, 'pending');
});

test('what was at many servers that ended at once was at one crash', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const incarnationId of ['a', 'b', 'c', 'd', 'e', 'f']) {
		ledger.addCrash(crashOf(incarnationId, 1000, {popular: 900}), 1000);
	}

	t.assert.deepStrictEqual(settled(ledger, 1000), []);
	t.assert.deepStrictEqual(ledger.status('popular', 2000), {
		kind: 'suspect',
		crashes: 1,
	});
});

test('of two that were at the same three crashes none is found out before they part', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		ledger.addCrash(
			crashOf(`life ${at}`, at, {fatal: at - 50, unlucky: at - 60}),
			at,
		);
	}

	t.assert.deepStrictEqual(settled(ledger, 3000), []);
	ledger.addCrash(crashOf('life 4', 4000, {fatal: 3900}), 4000);
	t.assert.deepStrictEqual(settled(ledger, 4000), ['fatal']);
	t.assert.strictEqual(ledger.status('unlucky', 5000).kind, 'clear');
});

test('a whole answer clears a request, and lifts its quarantine', (t: TestContext) => {
	const ledger = createCrashLedger();
	findOut(ledger);
	t.assert.strictEqual(ledger.served('fatal'), true);
	t.assert.strictEqual(ledger.status('fatal', 4000).kind, 'clear');
	t.assert.strictEqual(ledger.served('fatal'), false);
});

test('after its quarantine one more crash is enough, and the next lasts twice as long', (t: TestContext) => {
	const ledger = createCrashLedger();
	findOut(ledger);
	const later = 4000 + firstQuarantineMs;
	t.assert.strictEqual(ledger.status('fatal', later).kind, 'suspect');
	ledger.addCrash(crashOf('again', later, {fatal: later - 50}), later);
	const [entry] = ledger.evaluate(later + crashReportWindowMs);
	t.assert.strictEqual(entry?.level, 2);
	t.assert.strictEqual(
		entry.until,
		later + crashReportWindowMs + 2 * firstQuarantineMs,
	);
});

test('another node that found it out is believed, and news is told once', (t: TestContext) => {
	const ledger = createCrashLedger();
	const entry = {fingerprint: 'fatal', until: 1000, level: 1};
	t.assert.strictEqual(ledger.mergeEntry(entry, 0), true);
	t.assert.strictEqual(ledger.mergeEntry(entry, 0), false);
	t.assert.strictEqual(ledger.status('fatal', 10).kind, 'quarantined');
});

test('what is remembered is bounded in number and time', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (let index = 0; index < maximumCrashes + 50; index += 1) {
		ledger.addCrash(
			crashOf(`life ${index}`, index, {[`run ${index}`]: 0}),
			index,
		);
	}

	t.assert.strictEqual(ledger.suspects(), maximumCrashes);
	ledger.evaluate(maximumCrashes + 50 + crashRetentionMs);
	t.assert.strictEqual(ledger.isEmpty(), true);
});

test('at a crash with more requests than are remembered, one that was at others still counts', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		const crowd: Record<string, number> = {};
		for (let index = 0; index < maximumRunsPerCrash; index += 1) {
			crowd[`other ${at} ${index}`] = at - 100;
		}

		const incarnationId = `life ${at}`;
		ledger.addCrash(crashOf(incarnationId, at, {fatal: at - 50}), at);
		ledger.addCrash(crashOf(incarnationId, at, crowd), at);
		ledger.addCrash(crashOf(`${incarnationId} again`, at + 100, crowd), at);
		ledger.addCrash(
			crashOf(`${incarnationId} again`, at + 100, {fatal: at}),
			at,
		);
	}

	t.assert.deepStrictEqual(settled(ledger, 3100), ['fatal']);
});

test('in whatever order and however often nodes tell, they conclude the same', (t: TestContext) => {
	const told = [1000, 2000, 3000].flatMap((at) => [
		crashOf(`life ${at}`, at, {fatal: at - 50}),
		crashOf(`life ${at}`, at, {[`other ${at}`]: at - 200}),
		crashOf(`life ${at}`, at, {fatal: at - 50}),
	]);
	fc.assert(
		fc.property(
			fc.shuffledSubarray(told, {minLength: told.length}),
			(crashes) => {
				const ledger = createCrashLedger();
				for (const crash of crashes) {
					ledger.addCrash(crash, 3100);
				}

				t.assert.deepStrictEqual(settled(ledger, 3100), ['fatal']);
			},
		),
	);
});
