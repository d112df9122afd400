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
 Builds the call that asks the node which issued a request id for the outcome.
 
 Only that node may run the request. Where it cannot be asked, the outcome is unknown,
 and it stays so: running the request here could run it twice.
 */
export const createPermitIssuerCall =
	(context: NodeContext) =>
	async (request: GatewayRequest, holder: PermitIssuer): Promise<Answer> => {
		const member = context.membership.find(holder.node);
		if (!member || member.status === 'dead') {
			return refused(unreachable(holder.node));
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
			callFor(request, context),
			undefined,
			abort.signal,
		);
		clearTimeout(timer);
		return answer.isOk
			? passOn(answer.value, member)
			: refused(judge(answer.error, holder.node));
	};

const callFor = (
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

// That the holder could not be reached proves nothing: it may have run the request before.
const judge = (failure: AttemptFailure, node: string): GatewayError =>
	failure.isStated ? failure.error : unreachable(node);

const unreachable = (node: string): GatewayError =>
	createGatewayError(
		'outcome-unknown',
		`The request id was issued by node "${node}", which cannot be asked; the request may have run and is not run again`,
		{retryAfterSeconds: 5},
	);

const refused = (error: GatewayError): Answer => ({kind: 'refused', error});

const passOn = (upstream: UpstreamAnswer, member: Member): Answer => {
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
		pieces: passPieces(upstream.body),
		servedBy: {
			region: headers['x-quillford-region'] ?? '',
			availabilityZone: member.availabilityZone,
			target: member.id,
			attempts: 1,
			costPerThousandTokens: 0,
		},
	};
};

async function* passPieces(
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
			'The node that runs the request broke off its answer',
		);
		return {kind: 'broken', tokens: 0, error};
	}
}
