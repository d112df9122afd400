import {test, type TestContext} from 'node:test';
import {maximumInWindow} from '../most-in-span.ts';
import {startEngineScene} from './engine-scene.ts';

const limit = 4;
const convergenceMs = 1500;
const spanMs = 4000;
const allowedCalls = 1.5 * limit * (spanMs / 1000) + 5;

test('all nodes together respect the request rate limit that an engine announces', async (t: TestContext) => {
	const {sendSteadily, setFaults, counts} = await startEngineScene(t);
	await sendSteadily(500);
	await setFaults({limit});
	const announcedAt = Date.now();
	const statuses = await sendSteadily(convergenceMs + 2 * spanMs);
	const {arrivals} = await counts();
	const most = maximumInWindow(
		arrivals.filter((at) => at >= announcedAt + convergenceMs),
		spanMs,
	);
	t.assert.ok(
		most <= allowedCalls,
		`${most} in ${spanMs} ms, allowed ${allowedCalls}`,
	);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});
