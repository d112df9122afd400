import {test, type TestContext} from 'node:test';
import {
	bindTimeoutMs,
	createAddressBinder,
	decideBindRetry,
	type AddressBinder,
	type FailedBind,
} from '../../src/listening/index.ts';
import {silentLogger} from '../../src/logging/index.ts';

const inUse: FailedBind = {
	code: 'EADDRINUSE',
	waitedMs: 0,
	isRequired: true,
	isStopped: false,
};

const cases: ReadonlyArray<
	readonly [string, Partial<FailedBind>, 'again' | 'give-up']
> = [
	['an address in use', {}, 'again'],
	['an address in use just before the end', {waitedMs: 19_999}, 'again'],
	['an address in use for 20 s', {waitedMs: 20_000}, 'give-up'],
	[
		'an optional address in use for an hour',
		{waitedMs: 3_600_000, isRequired: false},
		'again',
	],
	['an address in use of a node that stops', {isStopped: true}, 'give-up'],
	[
		'an optional address of a node that stops',
		{isStopped: true, isRequired: false},
		'give-up',
	],
	['an address that no interface has yet', {code: 'EADDRNOTAVAIL'}, 'again'],
	['no descriptors left', {code: 'EMFILE'}, 'again'],
	['a port that the process may not use', {code: 'EACCES'}, 'give-up'],
	['an error without a code', {code: undefined}, 'give-up'],
];

for (const [name, failed, expected] of cases) {
	test(`${name}: ${expected}`, (t: TestContext) => {
		t.assert.strictEqual(decideBindRetry({...inUse, ...failed}).kind, expected);
	});
}

// An operating system that refuses an address until a time; its clock moves only while the binder waits.
const createScene = (freeAt: number) => {
	let now = 0;
	const binder: AddressBinder = createAddressBinder({
		logger: silentLogger,
		clock: () => now,
		async sleep(milliseconds) {
			now += milliseconds;
		},
	});
	const open = async () => {
		if (now < freeAt) {
			throw Object.assign(new Error('in use'), {code: 'EADDRINUSE'});
		}

		return now;
	};

	return {binder, open, elapsed: () => now};
};

test('a socket is opened soon after its address is free', async (t: TestContext) => {
	const {binder, open} = createScene(3000);
	const openedAt = await binder.bind('callers', '10.0.0.1:80', open);
	t.assert.ok(openedAt - 3000 <= 200);
});

test('the error about an address that stays in use names it, its use and what to do', async (t: TestContext) => {
	const {binder, open, elapsed} = createScene(Infinity);
	await t.assert.rejects(
		async () => binder.bind('callers', '10.0.0.1:80', open),
		/Cannot listen on 10\.0\.0\.1:80 for callers \(EADDRINUSE, tried for \d+ ms\): .*stop the process/v,
	);
	t.assert.ok(elapsed() - bindTimeoutMs <= 200);
});

test('an optional socket is opened however late its address is free', async (t: TestContext) => {
	const {binder, open} = createScene(10 * bindTimeoutMs);
	const openedAt = await binder.bindOptional('metrics', '10.0.0.1:80', open);
	t.assert.ok(openedAt >= 10 * bindTimeoutMs);
});

test('a node that stops does not wait for an address', async (t: TestContext) => {
	const {binder, open, elapsed} = createScene(Infinity);
	binder.stop();
	await t.assert.rejects(
		async () => binder.bindOptional('metrics', '10.0.0.1:80', open),
		/told to stop/v,
	);
	t.assert.strictEqual(elapsed(), 0);
});
