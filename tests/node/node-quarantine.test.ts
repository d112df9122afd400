import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import type {EngineProcessState} from '../../src/engines/index.ts';
import {silentLogger} from '../../src/logging/index.ts';
import type {NodeCore} from '../../src/node/node-core.ts';
import {createNodeQuarantine} from '../../src/node/node-quarantine.ts';
import {createSealer} from '../../src/peers/seal.ts';
import {engineIncarnationId} from '../../src/requests/index.ts';
import {fixedRandom} from '../fixtures.ts';

// Breaks a connection to an engine and returns the number of crashes that the node counts. `answer` is the process state
// that the node reads from the engine's address afterwards.
const crashesAfter = async (
	incarnationId: string,
	answer: EngineProcessState,
	backoffRemainingMs = 0,
): Promise<number> => {
	const core = {
		context: {
			clock: () => 1000,
			configuration: {
				current: () => ({
					configuration: {backendServers: [{id: 'engine', address: 'there'}]},
				}),
			},
			fleet: {backoffRemainingMs: () => backoffRemainingMs},
			logger: silentLogger,
			membership: {usable: () => []},
			settings: {nodeId: 'node'},
		},
		engines: {readProcessState: async () => answer},
		random: fixedRandom(),
		sealer: createSealer('key'),
	} as unknown as NodeCore;
	const quarantine = createNodeQuarantine(core, () => undefined);
	quarantine.connectionBroken(
		{
			server: 'engine',
			incarnationId,
			fingerprint: 'fatal',
			partFingerprints: [],
			sentAt: 900,
		},
		1000,
	);
	await setImmediate();
	return quarantine.crashesSeen();
};

const incarnationId = engineIncarnationId('engine', 'first');

test('a refused connection or a different incarnation counts as a crash', async (t: TestContext) => {
	t.assert.strictEqual(await crashesAfter(incarnationId, {kind: 'gone'}), 1);
	t.assert.strictEqual(
		await crashesAfter(incarnationId, {kind: 'running', incarnation: 'second'}),
		1,
	);
});

test('the same incarnation, no answer or an unknown earlier incarnation does not count as a crash', async (t: TestContext) => {
	const running = {kind: 'running', incarnation: 'first'} as const;
	t.assert.strictEqual(await crashesAfter(incarnationId, running), 0);
	t.assert.strictEqual(await crashesAfter(incarnationId, {kind: 'silent'}), 0);
	t.assert.strictEqual(
		await crashesAfter(engineIncarnationId('engine'), running),
		0,
	);
});

test('an engine in backoff is not probed for a crash', async (t: TestContext) => {
	t.assert.strictEqual(
		await crashesAfter(incarnationId, {kind: 'gone'}, 1000),
		0,
	);
});
