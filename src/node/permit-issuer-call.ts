import type {Buffer} from 'node:buffer';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {UpstreamAnswer} from '../engines/index.ts';
import type {Member} from '../membership/index.ts';
import type {ForwardCall} from '../peers/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import {
	forwardCall,
	type Answer,
	type GatewayRequest,
	type PermitIssuer,
	type StreamEnd,
} from '../requests/index.ts';
import type {NodeContext} from './node-context.ts';

/**
 Creates the call that redeems a request id at the node that issued it.
 
 Only the issuer may run the request. If the issuer cannot be reached, the outcome remains
 unknown: running the request on this node could run it twice.
 */
export const createPermitIssuerCall =
	(context: NodeContext) =>
	async (request: GatewayRequest, issuer: PermitIssuer): Promise<Answer> => {
		const member = context.membership.find(issuer.node);
		if (!member || member.status === 'dead') {
			return refusedAnswer(unreachableIssuerError(issuer.node));
		}

		const abort = new AbortController();
		const timer = setTimeout(
			() => {
				abort.abort();
			},
			Math.max(1, request.deadline - context.clock()),
		);
		const answer = await context.peers.forward(
			member,
			createRedeemCall(request, context),
			undefined,
			abort.signal,
		);
		clearTimeout(timer);
		return answer.isOk
			? toAnswer(answer.value, member)
			: refusedAnswer(toGatewayError(answer.error, issuer.node));
	};

const createRedeemCall = (
	request: GatewayRequest,
	{settings, clock}: NodeContext,
): ForwardCall => {
	const now = clock();
	const attemptId = `${settings.nodeId}.redeem.${request.requestId}.${now}`;
	const details = {
		purpose: 'redeem',
		attemptId,
		attempt: 1,
		resumeFrom: 0,
	} as const;
	return forwardCall(request, details, now);
};

// An unreachable issuer proves nothing: it may have run the request earlier.
const toGatewayError = (failure: AttemptFailure, node: string): GatewayError =>
	failure.isStated ? failure.error : unreachableIssuerError(node);

const unreachableIssuerError = (node: string): GatewayError =>
	createGatewayError(
		'outcome-unknown',
		`The request id was issued by node "${node}", which cannot be reached; the request may have run and is not run again`,
		{retryAfterSeconds: 5},
	);

const refusedAnswer = (error: GatewayError): Answer => ({
	kind: 'refused',
	error,
});

const toAnswer = (upstream: UpstreamAnswer, member: Member): Answer => {
	const headers = Object.fromEntries(
		Object.entries(upstream.headers).filter(
			(entry): entry is [string, string] =>
				typeof entry[1] === 'string' &&
				(entry[0] === 'content-type' ||
					entry[0].startsWith('x-quillford-') ||
					entry[0] === 'x-request-id'),
		),
	);
	return {
		kind: 'stream',
		status: upstream.status,
		headers,
		pieces: decodeBody(upstream.body),
		servedBy: {
			region: headers['x-quillford-region'] ?? '',
			availabilityZone: member.availabilityZone,
			target: member.id,
			attempts: 1,
			costPerThousandTokens: 0,
		},
	};
};

async function* decodeBody(
	body: AsyncIterable<Buffer>,
): AsyncGenerator<string, StreamEnd, void> {
	const decoder = new TextDecoder();
	try {
		for await (const chunk of body) {
			yield decoder.decode(chunk, {stream: true});
		}

		return {kind: 'complete', tokens: 0};
	} catch {
		const error = createGatewayError(
			'stream-broken',
			'The node that runs the request aborted its answer',
		);
		return {kind: 'broken', tokens: 0, error};
	}
}
