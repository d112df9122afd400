import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {
	FastifyAdapter,
	type NestFastifyApplication,
} from '@nestjs/platform-fastify';
import type {GatewayNode} from '../node/index.ts';
import {isEqualInConstantTime, sha256, splitAddress} from '../shared/index.ts';
import {
	AdministrationController,
	drainToken,
	nodeToken,
} from './administration-controller.ts';

/**
HTTP server of the administration API.
*/
export type AdministrationServer = {close(): Promise<void>};

/**
Starts the HTTP server of the administration API. Every call requires the administration key.
*/
export const startAdministrationServer = async (
	node: GatewayNode,
	drain: () => void,
): Promise<AdministrationServer> => {
	@Module({
		controllers: [AdministrationController],
		providers: [
			{provide: nodeToken, useFactory: () => node},
			{provide: drainToken, useFactory: () => drain},
		],
	})
	class AdministrationModule {}

	const adapter = new FastifyAdapter({forceCloseConnections: true});
	const app = await NestFactory.create<NestFastifyApplication>(
		AdministrationModule,
		adapter,
		{
			logger: false,
		},
	);
	const expectedDigest = sha256(node.settings.administrationKey);
	adapter.getInstance().addHook('onRequest', async (request, reply) => {
		const presentedKey = (request.headers.authorization ?? '').replace(
			/^bearer /iv,
			'',
		);
		if (!isEqualInConstantTime(sha256(presentedKey), expectedDigest)) {
			await reply.code(401).send({
				fault: 'Send the administration key: "Authorization: Bearer KEY"',
			});
		}
	});
	const {host, port} = splitAddress(node.settings.administrationAddress);
	await app.listen(port, host);
	return {close: async () => app.close()};
};
