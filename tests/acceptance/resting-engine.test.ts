import {test, type TestContext} from 'node:test';
import {
	zoneNodeCount,
	startEngineScene,
	type EngineCall,
} from './engine-scene.ts';

const retryAfterMs = 3000;
// Requests that were in flight when a node received the rejection may still arrive.
const inFlightMs = 500;
const allowedPerBackoff = 2;

const callsWithin = (
	calls: readonly EngineCall[],
	from: number,
	until: number,
): number => calls.filter(({at}) => at > from && at < until).length;

// Maximum number of calls that one node sent during a backoff period that the engine had requested.
const mostCallsInBackoff = (attempts: readonly EngineCall[]): number =>
	Math.max(
		0,
		...attempts
			.filter(({isRefused}) => isRefused)
			.map(({at, node}) =>
				callsWithin(
					attempts.filter((other) => other.node === node),
					at + inFlightMs,
					at + retryAfterMs,
				),
			),
	);

test('a node sends nothing to an engine that answered with Retry-After until the backoff ends', async (t: TestContext) => {
	const {sendSteadily, setFaults, counts} = await startEngineScene(t);
	await sendSteadily(500);
	await setFaults({isRefusing: true, restSeconds: retryAfterMs / 1000});
	const statuses = await sendSteadily(1000 + 2 * retryAfterMs);
	const {calls} = await counts();
	const attempts = calls.filter(({node}) => node !== '');
	const most = mostCallsInBackoff(attempts);
	t.assert.ok(
		most <= allowedPerBackoff,
		`${most}, allowed ${allowedPerBackoff}`,
	);
	t.assert.deepStrictEqual(
		statuses.filter((status) => status !== 200),
		[],
	);

	// During the first backoff of all nodes, no node polls the engine load.
	const refused = attempts.filter(({isRefused}) => isRefused);
	const firstAt = Map.groupBy(refused, ({node}) => node)
		.values()
		.map(([first]) => first!.at)
		.toArray();
	t.assert.strictEqual(firstAt.length, zoneNodeCount);
	const reads = callsWithin(
		calls.filter(({node}) => node === ''),
		Math.max(...firstAt) + inFlightMs,
		Math.min(...firstAt) + retryAfterMs,
	);
	t.assert.strictEqual(reads, 0);
});
