import {test, type TestContext} from 'node:test';
import {startEngineScene} from './engine-scene.ts';

const drainMs = 3000;

test('an engine that announces its shutdown only in its answers starts no request after 3 s', async (t: TestContext) => {
	const {sendSteadily, setFaults, counts} = await startEngineScene(t);
	await sendSteadily(500);
	await setFaults({announcesLeaving: true});
	await sendSteadily(1000);
	const announcedAt = Date.now();
	const statuses = await sendSteadily(drainMs + 1500);
	const {lastBegunAt} = await counts();
	t.assert.ok(
		lastBegunAt <= announcedAt + drainMs,
		`${lastBegunAt - announcedAt} ms after, allowed ${drainMs}`,
	);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});
