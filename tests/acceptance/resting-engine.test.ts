import {test, type TestContext} from 'node:test';
import {
	nodesOfZone,
	startEngineScene,
	type EngineCall,
} from './engine-scene.ts';

const restMs = 3000;
// Requests that were under way when a node received the refusal may still arrive, in milliseconds.
const inFlightMs = 500;
const allowedPerRest = 2;

const callsWithin = (
	calls: readonly EngineCall[],
	from: number,
	until: number,
): number => calls.filter(({at}) => at > from && at < until).length;

// The most calls of one node within a rest that the engine asked it for.
const mostWithinRest = (attempts: readonly EngineCall[]): number =>
	Math.max(
		0,
		...attempts
			.filter(({isRefused}) => isRefused)
			.map(({at, node}) =>
				callsWithin(
					attempts.filter((other) => other.node === node),
					at + inFlightMs,
					at + restMs,
				),
			),
	);

test('an engine that refuses with Retry-After receives nothing from that node until the rest is over', async (t: TestContext) => {
	const {play, setFaults, counts} = await startEngineScene(t);
	await play(500);
	await setFaults({isRefusing: true, restSeconds: restMs / 1000});
	const statuses = await play(1000 + 2 * restMs);
	const {calls} = await counts();
	const attempts = calls.filter(({node}) => node !== '');
	const most = mostWithinRest(attempts);
	t.assert.ok(most <= allowedPerRest, `${most}, allowed ${allowedPerRest}`);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);

	// While all nodes rest for the first time, none reads the load.
	const refused = attempts.filter(({isRefused}) => isRefused);
	const firstAt = Map.groupBy(refused, ({node}) => node)
		.values()
		.map(([first]) => first!.at)
		.toArray();
	t.assert.strictEqual(firstAt.length, nodesOfZone);
	const reads = callsWithin(
		calls.filter(({node}) => node === ''),
		Math.max(...firstAt) + inFlightMs,
		Math.min(...firstAt) + restMs,
	);
	t.assert.strictEqual(reads, 0);
});
