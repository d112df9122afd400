import type {UpstreamHead} from '../../backends/index.ts';
import {readLimitStatement} from '../../backend-limits/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {isMisdirected} from './judge-head.ts';

/**
Takes in what the head of an answer says of the limit of the server that made it.

The limit of a server in another region is its nodes' matter. An answer to another request comes late, and one that is
misdirected is another server's. A refusal that names no limit does not end one: only a server at work shows that.
*/
export const noteLimit = (
	{clock, headers, backendLimits, onBadLimit}: DeliveryContext,
	{exchange}: DeliveryRun,
	{life, sentAt, server}: CurrentCall,
	{status, header}: UpstreamHead,
): void => {
	if (
		life === undefined ||
		header(headers.requestId) !== exchange.requestId ||
		isMisdirected(status)
	) {
		return;
	}

	const text = header(headers.limit);
	if (text === undefined && header(headers.signature) === undefined) {
		return;
	}

	const statement = readLimitStatement(text, sentAt, clock());
	if (statement.isOk) {
		backendLimits.stated(life, statement.value, 'answer');
	} else {
		onBadLimit(server ?? '', statement.error);
	}
};
