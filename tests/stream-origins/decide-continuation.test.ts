import {test, type TestContext} from 'node:test';
import {
	createVersionHistory,
	decideContinuation,
} from '../../src/stream-origins/index.ts';

const origin = {service: 'engine', softwareVersion: 'v1'};

test('a stream with a record is bound to the service and version that began it', (t: TestContext) => {
	const versions = new Set(['v1', 'v2']);
	t.assert.deepStrictEqual(
		decideContinuation({
			origin,
			service: 'other',
			services: ['engine', 'other'],
			versions,
		}),
		{kind: 'bound', origin},
	);
});

test('a stream whose service is no longer routed to cannot be continued', (t: TestContext) => {
	const {kind} = decideContinuation({
		origin,
		service: 'other',
		services: ['other'],
		versions: new Set(['v1']),
	});
	t.assert.strictEqual(kind, 'impossible');
});

for (const {name, services, versions, kind} of [
	{name: 'one version', services: ['engine'], versions: ['v1'], kind: 'bound'},
	{name: 'no server', services: ['engine'], versions: [], kind: 'any'},
	{
		name: 'two versions',
		services: ['engine'],
		versions: ['v1', 'v2'],
		kind: 'impossible',
	},
	{
		name: 'two services',
		services: ['engine', 'other'],
		versions: ['v1'],
		kind: 'impossible',
	},
	{
		name: 'versions unknown',
		services: ['engine'],
		versions: undefined,
		kind: 'impossible',
	},
] as const) {
	test(`without a record and with ${name}, a continuation is ${kind}`, (t: TestContext) => {
		const decided = decideContinuation({
			origin: undefined,
			service: 'engine',
			services,
			versions: versions && new Set(versions),
		});
		t.assert.strictEqual(decided.kind, kind);
	});
}

const serverOf = (softwareVersion: string) => ({
	service: 'engine',
	softwareVersion,
});

test('a version counts as in use for the span after its last server is gone', (t: TestContext) => {
	const history = createVersionHistory();
	const versionsAt = (now: number) => [
		...(history.versionsWithin('engine', 4000, now) ?? []),
	];
	history.update([serverOf('v1')], 0);
	history.follow(0);
	t.assert.deepStrictEqual(versionsAt(9000), ['v1']);
	history.update([serverOf('v1'), serverOf('v2')], 10_000);
	t.assert.deepStrictEqual(versionsAt(15_000), ['v1', 'v2']);
	history.update([serverOf('v2')], 20_000);
	t.assert.deepStrictEqual(versionsAt(24_000), ['v1', 'v2']);
	t.assert.deepStrictEqual(versionsAt(24_001), ['v2']);
});

test('a node that has not followed the registry for the span knows no versions', (t: TestContext) => {
	const history = createVersionHistory();
	t.assert.strictEqual(history.versionsWithin('engine', 4000, 0), undefined);
	history.update([serverOf('v1')], 1000);
	history.follow(1000);
	t.assert.strictEqual(history.versionsWithin('engine', 4000, 4999), undefined);
	t.assert.strictEqual(history.versionsWithin('engine', 4000, 5000)?.size, 1);
	t.assert.strictEqual(history.knownWithin('engine', 4000, 4999), undefined);
	t.assert.deepStrictEqual(
		history.knownWithin('engine', 4000, 5000),
		new Set(['v1']),
	);
	history.interrupt();
	history.follow(6000);
	t.assert.strictEqual(history.versionsWithin('engine', 4000, 9999), undefined);
	t.assert.strictEqual(history.versionsWithin('engine', 4000, 10_000)?.size, 1);
	// An interruption hides no version that this node could have used.
	t.assert.strictEqual(history.knownWithin('engine', 4000, 6000)?.size, 1);
});

test('a node that has just started takes over the history of one that has run for longer', (t: TestContext) => {
	const old = createVersionHistory();
	old.update([serverOf('v1')], 0);
	old.follow(0);
	old.update([serverOf('v2')], 9000);
	const fresh = createVersionHistory();
	fresh.update([serverOf('v2')], 10_000);
	fresh.follow(10_000);
	fresh.takeOver(old.statement(10_100)!, 10_050, 10_150);
	for (const within of [fresh.versionsWithin, fresh.knownWithin]) {
		t.assert.deepStrictEqual(
			within('engine', 4000, 10_200),
			new Set(['v2', 'v1']),
		);
		t.assert.deepStrictEqual(within('engine', 4000, 13_200), new Set(['v2']));
		t.assert.strictEqual(within('engine', 11_000, 10_200), undefined);
	}
});

test('a node that knew no registry when it asked does not take over a history that may end before its own begins', (t: TestContext) => {
	const old = createVersionHistory();
	old.update([serverOf('v1')], 0);
	old.follow(0);
	const fresh = createVersionHistory();
	fresh.takeOver(old.statement(10_000)!, 9900, 10_050);
	fresh.update([serverOf('v2')], 10_060);
	fresh.takeOver(old.statement(10_000)!, 9900, 10_100);
	t.assert.strictEqual(fresh.knownWithin('engine', 4000, 10_100), undefined);
});
