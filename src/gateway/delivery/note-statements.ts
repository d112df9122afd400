import type {UpstreamHead} from '../../backends/index.ts';
import type {
	AnswerSource,
	StatedAnswer,
} from '../../server-statements/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {decodeHopResult, hopHeaders} from './hop.ts';

/**
Takes in what the head of an answer states about the backend server that made it, also by way of another node.
*/
export const noteStatements = (
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
	const {load} = statements.heard({
		...origin,
		sentAt: current.sentAt,
		receivedAt,
		status,
		isSigned: header(headers.signature) !== undefined,
		header,
	});
	if (origin.source === 'answer') {
		context.standings.rests.answered(origin.life, receivedAt);
	}

	if (load && !without.has('stated-load')) {
		current.attempt?.stated(load, receivedAt);
	}
};

type Origin = Pick<StatedAnswer, 'server' | 'life' | 'source'>;

const directOrigin = (
	{headers}: DeliveryContext,
	{exchange}: DeliveryRun,
	{life, server}: CurrentCall,
	{header}: UpstreamHead,
): Origin | undefined => {
	if (life === undefined || server === undefined) {
		return undefined;
	}

	const isExpected = header(headers.requestId) === exchange.requestId;
	const isRefusal = header(headers.notRun) !== undefined;
	return {server, life, source: sourceOf(isExpected, isRefusal)};
};

const sourceOf = (isExpected: boolean, isRefusal: boolean): AnswerSource =>
	isExpected ? (isRefusal ? 'refusal' : 'answer') : 'surplus answer';

// A refusal of the other node is no answer of a server.
const relayedOrigin = ({header}: UpstreamHead): Origin | undefined => {
	const life = header(hopHeaders.life);
	const server = decodeHopResult(header).tried.at(-1);
	return life === undefined || server === undefined
		? undefined
		: {server, life, source: 'relayed answer'};
};
