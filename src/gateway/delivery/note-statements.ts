import type {UpstreamHead} from '../../backends/index.ts';
import type {AnswerSource} from '../../server-statements/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';

/**
Takes in what the head of an answer states about the backend server that made it.
*/
export const noteStatements = (
	{clock, headers, statements, without}: DeliveryContext,
	run: DeliveryRun,
	{attempt, life, server, sentAt}: CurrentCall,
	{status, header}: UpstreamHead,
): void => {
	if (life === undefined || server === undefined) {
		return;
	}

	const receivedAt = clock();
	const {load} = statements.heard({
		server,
		life,
		source: sourceOf(
			header(headers.requestId) === run.exchange.requestId,
			header(headers.notRun) !== undefined,
		),
		sentAt,
		receivedAt,
		status,
		isSigned: header(headers.signature) !== undefined,
		header,
	});
	if (load && !without.has('stated-load')) {
		attempt?.stated(load, receivedAt);
	}
};

const sourceOf = (isExpected: boolean, isRefusal: boolean): AnswerSource =>
	isExpected ? (isRefusal ? 'refusal' : 'answer') : 'surplus answer';
