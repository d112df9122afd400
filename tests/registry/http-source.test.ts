import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {createHttpRegistrySource} from '../../src/registry/http-source.ts';
import {freeAddress} from '../../stand-ins/free-address.ts';
import {startRegistryServer} from '../../stand-ins/registry-server.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {documentOf} from '../gateway/fixtures.ts';
import {registeredServerOf} from './fixtures.ts';

for (const hasEras of [true, false]) {
	test(`a registry ${hasEras ? 'with' : 'without'} eras is read over HTTP before and after a restore from a copy`, async (t: TestContext) => {
		const registry = createStandInRegistry({hasEras});
		const address = await freeAddress();
		const server = await startRegistryServer(registry, address);
		const source = createHttpRegistrySource(address, createLogger('test', {}));
		t.after(async () => {
			await source.close();
			await server.close();
		});
		const positionOf = async () => {
			const answer = await source.snapshot();
			return answer.kind === 'snapshot'
				? [answer.era, answer.revision, answer.items.length]
				: answer.kind;
		};

		writeRoutes(registry, documentOf());
		registry.write('servers/s', {
			kind: 'server',
			server: registeredServerOf('s', {sequence: 4}),
		});
		t.assert.deepStrictEqual(await positionOf(), [
			hasEras ? 1 : undefined,
			2,
			2,
		]);
		registry.restore(1);
		t.assert.strictEqual((await source.changes(2, 0)).kind, 'history-lost');
		t.assert.deepStrictEqual(await positionOf(), [
			hasEras ? 2 : undefined,
			1,
			1,
		]);
	});
}
