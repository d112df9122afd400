import {Buffer} from 'node:buffer';
import type {UpstreamAnswer} from '../engines/index.ts';
import type {ServedBy} from './answer.ts';
import type {OpenAttempt, Progress} from './attempt.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
The longest body of an answer that is not streamed, in bytes.
*/
export const maximumAnswerBytes = 33_554_432;

/**
Reads a whole body within its bound.
*/
export const collectBody = async (
	body: AsyncIterable<Buffer>,
): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > maximumAnswerBytes) {
			throw new Error(`the answer is longer than ${maximumAnswerBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/**
The tokens that an engine states in a whole answer.
*/
export const tokensOf = (request: GatewayRequest, body: Buffer): number => {
	if (request.service.kind !== 'model') {
		return 0;
	}

	const match = /"completion_tokens":\s*(?<count>\d+)/v.exec(
		body.toString('utf8'),
	);
	return Number(match?.groups?.count ?? 0);
};

/**
Who served an attempt.
*/
export const servedBy = (
	{target}: OpenAttempt,
	progress: Progress,
): ServedBy => {
	const {attempts} = progress;
	switch (target.kind) {
		case 'backend-server': {
			const {id, availabilityZone, costPerThousandTokens} = target.server;
			return {
				region: target.region,
				availabilityZone,
				target: id,
				attempts,
				costPerThousandTokens,
			};
		}

		case 'peer': {
			const {region, availabilityZone, costPerThousandTokens} = target.zone;
			return {
				region,
				availabilityZone,
				target: target.member.id,
				attempts,
				costPerThousandTokens,
			};
		}
	}
};

/**
The headers that a caller gets with an answer.
*/
export const answerHeaders = (
	request: GatewayRequest,
	attempt: OpenAttempt,
	progress: Progress,
): Readonly<Record<string, string>> => {
	const {region, target, attempts} = servedBy(attempt, progress);
	const contentType = attempt.upstream.headers['content-type'];
	const chosenBy = attempt.upstream.headers['x-quillford-backend-server'];
	return {
		'content-type':
			typeof contentType === 'string'
				? contentType
				: 'application/octet-stream',
		'x-request-id': request.requestId,
		'x-quillford-outcome': 'ran',
		'x-quillford-region': region,
		'x-quillford-backend-server':
			typeof chosenBy === 'string' ? chosenBy : target,
		'x-quillford-policy': request.policy.name,
		'x-quillford-attempts': String(attempts),
	};
};

const firstServerFault = 500;

/**
Whether an engine answered that it failed; a plain service's answer is its own affair.
*/
export const isServerError = (
	request: GatewayRequest,
	upstream: UpstreamAnswer,
): boolean =>
	upstream.status >= firstServerFault && request.service.kind === 'model';
