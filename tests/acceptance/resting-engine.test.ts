import {test, type TestContext} from 'node:test';
import {mostInSpan} from '../most-in-span.ts';
import {nodesOfZone, startEngineScene} from './engine-scene.ts';

const restSeconds = 3;
// By then each node has been asked to rest.
const takingInMs = 1000;
const allowed = 2 * nodesOfZone;

test('an engine that refuses with Retry-After receives nothing until the rest is over, load reads included', async (t: TestContext) => {
	const {play, setFaults, counts} = await startEngineScene(t);
	await play(500);
	await setFaults({isRefusing: true, restSeconds});
	const shedAt = Date.now();
	const statuses = await play(takingInMs + 2 * restSeconds * 1000);
	const {arrivals} = await counts();
	const spanMs = restSeconds * 1000 - takingInMs;
	const most = mostInSpan(
		arrivals.filter((at) => at >= shedAt + takingInMs),
		spanMs,
	);
	t.assert.ok(most <= allowed, `${most} in ${spanMs} ms, allowed ${allowed}`);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});
