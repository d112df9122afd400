import type {Buffer} from 'node:buffer';
import type {UpstreamAnswer} from '../engines/index.ts';
import {readBody} from '../shared/index.ts';
import type {ServedBy} from './answer.ts';
import type {OpenAttempt, Progress} from './attempt.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Maximum body size of a response that is not streamed, in bytes.
*/
export const maximumAnswerBytes = 33_554_432;

/**
Reads a whole body; fails if it exceeds `maximumAnswerBytes`.
*/
export const collectBody = async (
	body: AsyncIterable<Buffer>,
): Promise<Buffer> => readBody(body, maximumAnswerBytes);

/**
Returns the completion tokens that an engine reports in a complete response, or 0.
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
Describes the target that served an attempt.
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
Builds the response headers for the caller.
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

const firstServerErrorStatus = 500;

/**
Whether an engine answered with a server error. Responses of plain services are passed on as they are.
*/
export const isServerError = (
	request: GatewayRequest,
	upstream: UpstreamAnswer,
): boolean =>
	upstream.status >= firstServerErrorStatus && request.service.kind === 'model';
