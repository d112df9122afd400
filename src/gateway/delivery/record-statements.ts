import type {UpstreamHead} from '../../backends/index.ts';
import type {
	AnswerSource,
	StatedAnswer,
} from '../../server-statements/index.ts';
import {decodeHeaderText} from '../../shared/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {decodeHopResult, hopHeaders} from './hop.ts';

/**
Processes the statements (load, limit, backoff, shutdown) that a backend server made in the headers of its response,
directly or through another node.
*/
export const recordStatements = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	head: UpstreamHead,
): void => {
	const {clock, headers, statements, without} = context;
	const origin = current.member
		? relayedOrigin(head)
		: directOrigin(context, run, current, head);
	if (!origin) {
		return;
	}

	const {status, header} = head;
	const receivedAt = clock();
	const {load} = statements.handle({
		...origin,
		sentAt: current.sentAt,
		receivedAt,
		status,
		isSigned: header(headers.signature) !== undefined,
		header,
	});
	if (origin.source === 'answer') {
		context.announcements.backoffs.recordAnswer(
			origin.incarnationId,
			receivedAt,
		);
	}

	if (load && !without.has('stated-load')) {
		current.attempt?.recordStatedLoad(load, receivedAt);
	}
};

type Origin = Pick<StatedAnswer, 'server' | 'incarnationId' | 'source'>;

const directOrigin = (
	{headers}: DeliveryContext,
	{exchange}: DeliveryRun,
	{incarnationId, server}: CurrentCall,
	{header}: UpstreamHead,
): Origin | undefined => {
	if (incarnationId === undefined || server === undefined) {
		return undefined;
	}

	const isExpected = header(headers.requestId) === exchange.requestId;
	const isRefusal = header(headers.notRun) !== undefined;
	return {
		server,
		incarnationId,
		source: sourceOf(isExpected, isRefusal),
	};
};

const sourceOf = (isExpected: boolean, isRefusal: boolean): AnswerSource =>
	isExpected ? (isRefusal ? 'refusal' : 'answer') : 'surplus answer';

// A refusal by the other node is not a response of a backend server.
const relayedOrigin = ({header}: UpstreamHead): Origin | undefined => {
	const encodedId = header(hopHeaders.life);
	const server = decodeHopResult(header).tried.at(-1);
	return encodedId === undefined || server === undefined
		? undefined
		: {
				server,
				incarnationId: decodeHeaderText(encodedId),
				source: 'relayed answer',
			};
};
