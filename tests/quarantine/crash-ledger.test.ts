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

const evaluated = (ledger: CrashLedger, now: number): readonly string[] =>
	ledger
		.evaluate(now + crashReportWindowMs)
		.map(({fingerprint}) => fingerprint);

// Three sequential crashes of one request, each with a different other request in flight.
const quarantineFatal = (ledger: CrashLedger, from = 0): readonly string[] => {
	const found: string[] = [];
	for (let index = 0; index < minimumCrashes; index += 1) {
		const at = from + 1000 * (index + 1);
		const incarnationId = `incarnation ${from} ${index}`;
		const companion = {[`other ${incarnationId}`]: at - 300};
		ledger.addCrash(
			crashOf(incarnationId, at, {fatal: at - 50, ...companion}),
			at,
		);
		found.push(...evaluated(ledger, at));
	}

	return found;
};

test('a request at three sequential crashes is put in quarantine after the report window; the others in flight never', (t: TestContext) => {
	const ledger = createCrashLedger();
	t.assert.deepStrictEqual(quarantineFatal(ledger), ['fatal']);
	t.assert.strictEqual(ledger.status('fatal', 4000).kind, 'quarantined');
	t.assert.strictEqual(
		ledger.status('other incarnation 0 0', 4000).kind,
		'clear',
	);
});

test('a request is pending until the report window of its third crash is over', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		ledger.addCrash(crashOf(`incarnation ${at}`, at, {fatal: at - 50}), at);
	}

	t.assert.strictEqual(ledger.status('fatal', 3010).kind, 'pending');
});

test('a request at many servers that crashed at the same time counts as at one crash', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const incarnationId of ['a', 'b', 'c', 'd', 'e', 'f']) {
		ledger.addCrash(crashOf(incarnationId, 1000, {popular: 900}), 1000);
	}

	t.assert.deepStrictEqual(evaluated(ledger, 1000), []);
	t.assert.deepStrictEqual(ledger.status('popular', 2000), {
		kind: 'suspect',
		crashes: 1,
	});
});

test('of two requests at the same three crashes, none is put in quarantine before a crash of only one', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		ledger.addCrash(
			crashOf(`incarnation ${at}`, at, {fatal: at - 50, unlucky: at - 60}),
			at,
		);
	}

	t.assert.deepStrictEqual(evaluated(ledger, 3000), []);
	ledger.addCrash(crashOf('incarnation 4', 4000, {fatal: 3900}), 4000);
	t.assert.deepStrictEqual(evaluated(ledger, 4000), ['fatal']);
	t.assert.strictEqual(ledger.status('unlucky', 5000).kind, 'clear');
});

test('a complete answer clears a request and ends its quarantine', (t: TestContext) => {
	const ledger = createCrashLedger();
	quarantineFatal(ledger);
	t.assert.strictEqual(ledger.served('fatal'), true);
	t.assert.strictEqual(ledger.status('fatal', 4000).kind, 'clear');
	t.assert.strictEqual(ledger.served('fatal'), false);
});

test('after a quarantine, one more crash is enough for the next, which lasts twice as long', (t: TestContext) => {
	const ledger = createCrashLedger();
	quarantineFatal(ledger);
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

test('an entry of another node puts the request in quarantine, and counts as new once', (t: TestContext) => {
	const ledger = createCrashLedger();
	const entry = {fingerprint: 'fatal', until: 1000, level: 1};
	t.assert.strictEqual(ledger.mergeEntry(entry, 0), true);
	t.assert.strictEqual(ledger.mergeEntry(entry, 0), false);
	t.assert.strictEqual(ledger.status('fatal', 10).kind, 'quarantined');
});

test('the crashes remembered are bounded in number and time', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (let index = 0; index < maximumCrashes + 50; index += 1) {
		ledger.addCrash(
			crashOf(`incarnation ${index}`, index, {[`run ${index}`]: 0}),
			index,
		);
	}

	t.assert.strictEqual(ledger.suspects(), maximumCrashes);
	ledger.evaluate(maximumCrashes + 50 + crashRetentionMs);
	t.assert.strictEqual(ledger.isEmpty(), true);
});

test('at a crash with more requests than are remembered, a request at other crashes still counts', (t: TestContext) => {
	const ledger = createCrashLedger();
	for (const at of [1000, 2000, 3000]) {
		const others: Record<string, number> = {};
		for (let index = 0; index < maximumRunsPerCrash; index += 1) {
			others[`other ${at} ${index}`] = at - 100;
		}

		const incarnationId = `incarnation ${at}`;
		ledger.addCrash(crashOf(incarnationId, at, {fatal: at - 50}), at);
		ledger.addCrash(crashOf(incarnationId, at, others), at);
		ledger.addCrash(crashOf(`${incarnationId} again`, at + 100, others), at);
		ledger.addCrash(
			crashOf(`${incarnationId} again`, at + 100, {fatal: at}),
			at,
		);
	}

	t.assert.deepStrictEqual(evaluated(ledger, 3100), ['fatal']);
});

test('the result does not depend on the order and the number of the reports', (t: TestContext) => {
	const reports = [1000, 2000, 3000].flatMap((at) => [
		crashOf(`incarnation ${at}`, at, {fatal: at - 50}),
		crashOf(`incarnation ${at}`, at, {[`other ${at}`]: at - 200}),
		crashOf(`incarnation ${at}`, at, {fatal: at - 50}),
	]);
	fc.assert(
		fc.property(
			fc.shuffledSubarray(reports, {minLength: reports.length}),
			(crashes) => {
				const ledger = createCrashLedger();
				for (const crash of crashes) {
					ledger.addCrash(crash, 3100);
				}

				t.assert.deepStrictEqual(evaluated(ledger, 3100), ['fatal']);
			},
		),
	);
});
