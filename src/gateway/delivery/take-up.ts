import type {Continuation, StreamOrigin} from '../../stream-origins/index.ts';
import type {Exchange} from '../exchange.ts';
import type {DeliveryContext} from './delivery-context.ts';

/**
Whether a caller takes up a stream of which it has already received events.
*/
export const isTakenUp = ({lastEventId, route}: Exchange): boolean =>
	lastEventId !== undefined && route.kind === 'streaming' && route.isResumable;

/**
Finds out where a stream that is taken up may be continued. The node that received the request from the caller searches for the
record; a node to which it forwards the request is told the version.

@returns Function that cancels the search.
*/
export const findContinuation = (
	{origins}: DeliveryContext,
	exchange: Exchange,
	onResult: (continuation: Continuation) => void,
): (() => void) => {
	const {hop, service} = exchange;
	if (!hop) {
		return origins.find(exchange, onResult);
	}

	onResult(
		hop.softwareVersion === undefined
			? origins.decideWithoutRecord(exchange)
			: {
					kind: 'bound',
					origin: {service, softwareVersion: hop.softwareVersion},
				},
	);
	return () => undefined;
};

/**
Returns the origin to which a request is bound from its start.
*/
export const boundOriginOf = (
	continuation: Continuation,
): StreamOrigin | undefined =>
	continuation.kind === 'bound' ? continuation.origin : undefined;
