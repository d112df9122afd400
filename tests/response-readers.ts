import {createWorkerCacheSource} from '../platform/cache-source.ts';
import {createStoreSource} from '../platform/store-source.ts';
import {createEngineClient} from '../src/engines/index.ts';
import {silentLogger} from '../src/logging/index.ts';
import {createPeerClient} from '../src/mesh/index.ts';
import {createPlatformClient} from '../src/platform/index.ts';
import {createHttpRegistrySource} from '../src/registry/http-source.ts';
import type {Address} from '../src/shared/index.ts';

/**
A part of a node that reads what another service sends.
*/
export type Reader = {
	/**
	Reads once. Returns whether the read failed.
	*/
	readonly hasFailed: () => Promise<boolean>;
	readonly close: () => Promise<unknown>;
	/**
	Maximum size of a body.
	*/
	readonly maximumBytes: number;
};

const stateBytes = 33_554_432;

/**
All parts that read, by the name of what they read. Each starts without connections.
*/
export const readers: Readonly<Record<string, (address: Address) => Reader>> = {
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
