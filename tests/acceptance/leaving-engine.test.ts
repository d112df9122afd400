import {test, type TestContext} from 'node:test';
import {startEngineScene} from './engine-scene.ts';

const drainMs = 3000;

test('an engine that announces its shutdown in answers only begins nothing 3 s later', async (t: TestContext) => {
	const {play, setFaults, counts} = await startEngineScene(t);
	await play(500);
	await setFaults({announcesLeaving: true});
	await play(1000);
	const toldAt = Date.now();
	const statuses = await play(drainMs + 1500);
	const {lastBegunAt} = await counts();
	t.assert.ok(
		lastBegunAt <= toldAt + drainMs,
		`${lastBegunAt - toldAt} ms after, allowed ${drainMs}`,
	);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});
