import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {
	FastifyAdapter,
	type NestFastifyApplication,
} from '@nestjs/platform-fastify';
import type {FastifyError} from 'fastify';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {GatewayNode} from '../node/index.ts';
import {splitAddress} from '../shared/index.ts';
import {CallerController, nodeToken} from './caller-controller.ts';
import {writeError} from './write-answer.ts';

/**
The listener for callers.
*/
export type CallerServer = {close(): Promise<void>};

/**
The longest request head, in bytes.
*/
export const maximumHeaderBytes = 16_384;

/**
Starts the listener for callers.
*/
export const startCallerServer = async (
	node: GatewayNode,
): Promise<CallerServer> => {
	@Module({
		controllers: [CallerController],
		providers: [{provide: nodeToken, useFactory: () => node}],
	})
	class CallerModule {}

	const adapter = new FastifyAdapter({
		bodyLimit: node.settings.maximumBodyBytes,
		http: {maxHeaderSize: maximumHeaderBytes},
		keepAliveTimeout: 65_000,
	});
	const app = await NestFactory.create<NestFastifyApplication>(
		CallerModule,
		adapter,
		{
			logger: false,
			bodyParser: false,
		},
	);
	const instance = adapter.getInstance();
	instance.removeAllContentTypeParsers();
	instance.addContentTypeParser(
		'*',
		{parseAs: 'buffer'},
		(_request, body, done) => {
			done(null, body);
		},
	);
	await app.init();
	instance.setErrorHandler(async (error: FastifyError, _request, reply) => {
		node.logger.warn(
			{code: error.code, message: error.message},
			'request could not be taken',
		);
		await writeError(reply, toGatewayError(error), {connection: 'close'});
	});
	instance.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (!socket.writable) {
			return;
		}

		const status =
			error.code === 'HPE_HEADER_OVERFLOW'
				? '431 Request Header Fields Too Large'
				: '400 Bad Request';
		const kind =
			error.code === 'HPE_HEADER_OVERFLOW'
				? 'headers-too-large'
				: 'bad-request';
		const body = JSON.stringify({
			error: {
				message: `The request head cannot be read: ${error.message}`,
				type: kind,
				code: kind,
				outcome: 'not-run',
			},
		});
		socket.end(
			`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
		);
	});
	const {host, port} = splitAddress(node.settings.callerAddress);
	await app.listen(port, host);
	return {close: async () => app.close()};
};

const toGatewayError = (error: FastifyError): GatewayError => {
	switch (error.code) {
		case 'FST_ERR_CTP_BODY_TOO_LARGE': {
			return createGatewayError(
				'body-too-large',
				'The body is longer than this node takes',
			);
		}

		case 'FST_ERR_CTP_INVALID_CONTENT_LENGTH':
		case 'FST_ERR_CTP_INVALID_MEDIA_TYPE': {
			return createGatewayError(
				'bad-request',
				`The body cannot be read: ${error.message}`,
			);
		}

		default: {
			return error.statusCode === 400
				? createGatewayError('bad-request', error.message)
				: createGatewayError(
						'internal',
						'An unexpected error happened; it was logged',
					);
		}
	}
};
