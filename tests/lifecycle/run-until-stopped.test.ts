import {test, type TestContext} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {
	createStopRequest,
	runUntilStopped,
	type NodeEnd,
} from '../../src/lifecycle/index.ts';
import {silentLogger} from '../../src/logging/index.ts';

type Step = 'start' | 'complete' | 'drain' | 'close';

const inUse = new Error('the address is in use');

// Runs a node whose steps fail or are interrupted by a stop signal.
const run = async (
	failing: Step | undefined,
	stoppedDuring: Step | undefined,
	isIdle = true,
): Promise<{readonly end: NodeEnd; readonly steps: readonly Step[]}> => {
	const listeners: Array<(signal: string) => void> = [];
	const sendSignal = () => {
		listeners[0]!('SIGTERM');
	};

	const signals = {
		on(_signal: string, listener: (signal: string) => void) {
			listeners.push(listener);
		},
	};
	const steps: Step[] = [];
	const stepOf = (step: Step) => async () => {
		steps.push(step);
		if (stoppedDuring === step) {
			sendSignal();
		}

		if (failing === step) {
			throw inUse;
		}
	};

	const end = runUntilStopped({
		start: stepOf('start'),
		complete: stepOf('complete'),
		async drain() {
			await stepOf('drain')();
			return isIdle;
		},
		close: stepOf('close'),
		stopRequest: createStopRequest(signals, () => undefined),
		logger: silentLogger,
	});
	if (failing === undefined && stoppedDuring === undefined) {
		// The node has started by then.
		await turn();
		sendSignal();
	}

	return {end: await end, steps};
};

const failed: NodeEnd = {kind: 'failed', reason: inUse.message};
const stopped: NodeEnd = {kind: 'stopped', isIdle: true};

for (const [name, failing, stoppedDuring, steps, end] of [
	[
		'a node that was started ends by a signal',
		undefined,
		undefined,
		['start', 'complete', 'drain', 'close'],
		stopped,
	],
	[
		'a node that cannot start ends, and drains nothing',
		'start',
		undefined,
		['start', 'close'],
		failed,
	],
	[
		'a node that serves callers and cannot complete its start drains before it ends',
		'complete',
		undefined,
		['start', 'complete', 'drain', 'close'],
		failed,
	],
	[
		'a stop signal during a start that then fails is a stop',
		'start',
		'start',
		['start', 'close'],
		stopped,
	],
	[
		'a stop signal during a start that succeeds is kept',
		undefined,
		'start',
		['start', 'complete', 'drain', 'close'],
		stopped,
	],
	[
		'a stop signal during a completion that then fails is a stop with a drain',
		'complete',
		'complete',
		['start', 'complete', 'drain', 'close'],
		stopped,
	],
] as const) {
	test(name, async (t: TestContext) => {
		const played = await run(failing, stoppedDuring);
		t.assert.deepStrictEqual(played, {end, steps});
	});
}

test('a node that is still busy at the end of its drain says so', async (t: TestContext) => {
	const {end} = await run(undefined, undefined, false);
	t.assert.deepStrictEqual(end, {kind: 'stopped', isIdle: false});
});
