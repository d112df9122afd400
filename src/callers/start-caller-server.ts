import type {Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {
	FastifyAdapter,
	type NestFastifyApplication,
} from '@nestjs/platform-fastify';
import type {FastifyError} from 'fastify';
import {
	createGatewayError,
	renderError,
	type GatewayError,
} from '../errors/index.ts';
import type {GatewayNode} from '../node/index.ts';
import {splitAddress} from '../shared/index.ts';
import {CallerController, nodeToken} from './caller-controller.ts';
import {discardRemainingBody} from './discard-remaining-body.ts';
import {writeError} from './write-answer.ts';

/**
HTTP server that receives the requests of callers.
*/
export type CallerServer = {close(): Promise<void>};

/**
Maximum size of a request head, in bytes.
*/
export const maximumHeaderBytes = 16_384;

// Fastify reports this code if the Content-Length exceeds the limit, before it reads the body.
const bodyTooLargeCode = 'FST_ERR_CTP_BODY_TOO_LARGE';

/**
Starts the HTTP server for callers.
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
		clientErrorHandler: handleParseError,
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
	instance.setErrorHandler(async (error: FastifyError, request, reply) => {
		node.logger.warn(
			{code: error.code, message: error.message},
			'request could not be processed',
		);
		if (error.code === bodyTooLargeCode) {
			await discardRemainingBody(request.raw);
		}

		await writeError(reply, toGatewayError(error), {connection: 'close'});
	});
	const {host, port} = splitAddress(node.settings.callerAddress);
	await app.listen(port, host);
	return {close: async () => app.close()};
};

// A request head that cannot be parsed never becomes a request object, so the response is written to the socket directly.
const handleParseError = (
	error: NodeJS.ErrnoException,
	socket: Socket,
): void => {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const rendered = renderError(
		isTooLarge
			? createGatewayError(
					'headers-too-large',
					`The head of the request is longer than ${maximumHeaderBytes} bytes`,
				)
			: createGatewayError(
					'bad-request',
					`The request cannot be read: ${error.message}`,
				),
	);
	const head = [
		`HTTP/1.1 ${rendered.status} ${isTooLarge ? 'Request Header Fields Too Large' : 'Bad Request'}`,
		'connection: close',
		`content-length: ${Buffer.byteLength(rendered.body)}`,
		...Object.entries(rendered.headers).map(
			([name, value]) => `${name}: ${value}`,
		),
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${rendered.body}`);
};

const toGatewayError = (error: FastifyError): GatewayError => {
	switch (error.code) {
		case bodyTooLargeCode: {
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
