// Guards against outdated state that seems fresh after a machine was suspended: its monotonic clock stops meanwhile, so
// that ages do not grow. The clocks of the machine are simulated.
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {freshRoutesMs} from '../../src/gateway/index.ts';
import {machineClocks} from '../../src/shared/index.ts';
import {startGateways} from '../../stand-ins/gateways.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {waitUntil} from '../until.ts';
import {documentOf} from './fixtures.ts';

// Longer than routes are considered fresh.
const suspendedMs = 3 * freshRoutesMs;

const setUp = async (t: TestContext) => {
	let leap = 0;
	const registry = createStandInRegistry();
	const {nodes, callerAddresses, stop} = await startGateways(
		{north: 'upland'},
		1,
		registry,
		{
			monotonic: machineClocks.monotonic,
			wall: () => machineClocks.wall() + leap,
			uptime: () => machineClocks.uptime() + leap,
		},
	);
	t.after(stop);
	writeRoutes(registry, documentOf());
	await waitUntil(() => nodes[0]!.isReady());
	return {
		suspend() {
			registry.setUp(false);
			leap += suspendedMs;
		},
		async askUnknownPath() {
			const answer = await request(`http://${callerAddresses[0]!}/elsewhere/`, {
				headers: {
					host: 'site.example',
					[standInHeaders.requestId]: 'attempt',
				},
			});
			await answer.body.dump();
			return answer.statusCode;
		},
	};
};

test('routes that were read before a suspension are not considered fresh after it', async (t: TestContext) => {
	const {suspend, askUnknownPath} = await setUp(t);
	t.assert.strictEqual(await askUnknownPath(), 404);
	suspend();
	// A route may have been added meanwhile.
	t.assert.strictEqual(await askUnknownPath(), 503);
});
