import {test, type TestContext} from 'node:test';
import {mostInSpan} from '../most-in-span.ts';
import {startEngineScene} from './engine-scene.ts';

const limit = 4;
const takingInMs = 1500;
const spanMs = 4000;
const allowed = 1.5 * limit * (spanMs / 1000) + 5;

test('an engine gets from all nodes together what it has named', async (t: TestContext) => {
	const {play, setFaults, counts} = await startEngineScene(t);
	await play(500);
	await setFaults({limit});
	const namedAt = Date.now();
	const statuses = await play(takingInMs + 2 * spanMs);
	const {arrivals} = await counts();
	const most = mostInSpan(
		arrivals.filter((at) => at >= namedAt + takingInMs),
		spanMs,
	);
	t.assert.ok(most <= allowed, `${most} in ${spanMs} ms, allowed ${allowed}`);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});
