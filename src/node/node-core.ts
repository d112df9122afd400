import {randomBytes} from 'node:crypto';
import {
	createConfigurationStore,
	regionOfZone,
} from '../configuration/index.ts';
import {createDigestTable} from '../digests/index.ts';
import {createEngineClient, type EngineClient} from '../engines/index.ts';
import {createFleet} from '../fleet/index.ts';
import type {Logger} from '../logging/index.ts';
import {createMembership, type Member} from '../membership/index.ts';
import {
	createHeartbeatCodec,
	createPeerCalls,
	createSealer,
	type HeartbeatCodec,
	type Sealer,
} from '../peers/index.ts';
import {createPlatformClient} from '../platform/index.ts';
import type {ServeSettings} from '../settings/index.ts';
import {
	createAddressTranslation,
	createElapsedClock,
	createRandom,
	machineClocks,
	type Address,
	type Random,
} from '../shared/index.ts';
import type {NodeContext} from './node-context.ts';

/**
The state, clients and codecs of a node, created before any controller runs.
*/
export type NodeCore = {
	readonly context: NodeContext;
	readonly engines: EngineClient;
	readonly sealer: Sealer;
	readonly codec: HeartbeatCodec;
	readonly random: Random;
	readonly translate: (address: Address) => Address;
};

const seedRange = 2 ** 31;

/**
Creates the core of a node from its settings.
*/
export const createNodeCore = (
	settings: ServeSettings,
	logger: Logger,
): NodeCore => {
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const translate = createAddressTranslation(settings.addressTranslations);
	const sealer = createSealer(settings.peerKey);
	const codec = createHeartbeatCodec(sealer);
	const configuration = createConfigurationStore();
	const membership = createMembership({self: memberOf(settings), random});
	const context: NodeContext = {
		settings,
		clock: createElapsedClock(machineClocks, (suspendedMs) => {
			logger.warn({suspendedMs}, 'the machine was suspended; ages count it');
		}),
		configuration,
		membership,
		digests: createDigestTable({
			node: settings.nodeId,
			availabilityZone: settings.availabilityZone,
			incarnation: () => membership.self().incarnation,
			sizeOf: codec.sizeOf,
		}),
		fleet: createFleet(),
		peers: createPeerCalls({
			self: membership.self,
			configurationVersion: () => configuration.stamp().version,
			sealer,
			translate,
		}),
		platform: createPlatformClient(settings.platformAddress),
		logger,
		localRegion() {
			const document = configuration.current()?.configuration;
			return (
				(document && regionOfZone(document, settings.availabilityZone)) ?? ''
			);
		},
	};
	const engines = createEngineClient(translate);
	return {context, engines, sealer, codec, random, translate};
};

const memberOf = (settings: ServeSettings): Member => ({
	id: settings.nodeId,
	availabilityZone: settings.availabilityZone,
	peerAddress: settings.peerAddress,
	callerAddress: settings.callerAddress,
	incarnation: Date.now(),
	revision: 0,
	status: 'alive',
});
