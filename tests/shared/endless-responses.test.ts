// Guards against a service whose responses never end, and which takes the memory or the processor time of the nodes that read it.
import {test, type TestContext} from 'node:test';
import {createWorkerCacheSource} from '../../platform/cache-source.ts';
import {createStoreSource} from '../../platform/store-source.ts';
import {createEngineClient} from '../../src/engines/index.ts';
import {silentLogger} from '../../src/logging/index.ts';
import {createPeerClient} from '../../src/mesh/index.ts';
import {createPlatformClient} from '../../src/platform/index.ts';
import {createHttpRegistrySource} from '../../src/registry/http-source.ts';
import {maximumOverheadBytes, type Address} from '../../src/shared/index.ts';
import {endlessResponses} from '../../stand-ins/endless-bytes.ts';
import {startEndlessServer} from '../endless-server.ts';
import {waitUntil} from '../until.ts';

type Reader = {
	/**
	Reads once. Returns whether the read failed.
	*/
	readonly hasFailed: () => Promise<boolean>;
	readonly close: () => Promise<unknown>;
	readonly maximumBytes: number;
};

// What is on its way when a reader closes the connection, in bytes.
const inTransitBytes = 16_777_216;
const stateBytes = 33_554_432;

const readers: Readonly<Record<string, (address: Address) => Reader>> = {
	'cache events'(address) {
		const source = createWorkerCacheSource();
		return {
			async hasFailed() {
				const answer = await source.events(
					{id: 'a', address},
					0,
					() => undefined,
				);
				return answer.kind === 'unavailable';
			},
			close: source.close,
			maximumBytes: 4_194_304,
		};
	},
	'the load of an engine'(address) {
		const client = createEngineClient((each) => each);
		return {
			async hasFailed() {
				const status = await client.readStatus(address, () => undefined);
				return status.isErr;
			},
			close: client.close,
			maximumBytes: 1_048_576,
		};
	},
	'a registry'(address) {
		const source = createHttpRegistrySource(address, silentLogger);
		return {
			async hasFailed() {
				const answer = await source.snapshot();
				return answer.kind === 'unavailable';
			},
			close: source.close,
			maximumBytes: stateBytes,
		};
	},
	'a store'(address) {
		const source = createStoreSource(address, silentLogger);
		return {
			async hasFailed() {
				const answer = await source.snapshot();
				return answer.kind === 'unavailable';
			},
			close: source.close,
			maximumBytes: stateBytes,
		};
	},
	'another node'(address) {
		const client = createPeerClient();
		return {
			hasFailed: async () =>
				(await client.members(address, 'none')) === undefined,
			close: client.close,
			maximumBytes: stateBytes,
		};
	},
	'the platform services'(address) {
		const client = createPlatformClient(address);
		return {
			hasFailed: async () => (await client.readVmList()).isErr,
			close: client.close,
			maximumBytes: 2_097_152,
		};
	},
};

const maximumReadOf = ({maximumBytes}: Reader): number =>
	maximumBytes * 2 + maximumOverheadBytes;

const head = 'HTTP/1.1 200 OK\r\n';

for (const [readerName, createReader] of Object.entries(readers)) {
	for (const [name, bytes] of Object.entries(endlessResponses(head))) {
		test(`the read of ${readerName} ends with its connection at ${name} without end`, async (t: TestContext) => {
			const server = await startEndlessServer(t, () => bytes);
			const reader = createReader(server.address);
			t.after(reader.close);
			t.assert.ok(await reader.hasFailed());
			await waitUntil(() => server.openConnections() === 0);
			t.assert.strictEqual(server.openConnections(), 0);
			t.assert.ok(
				server.writtenBytes() <= maximumReadOf(reader) + inTransitBytes,
				`${server.writtenBytes()} bytes`,
			);
		});
	}
}
