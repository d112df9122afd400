import type {UpstreamHead} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import {isEventStream} from '../../response-bodies/index.ts';
import type {Exchange} from '../exchange.ts';
import type {WireHeaders} from '../wire-headers.ts';

/**
How a response is handled, according to its head.
*/
export type HeadVerdict =
	/**
	The response is buffered and passed on when it is complete.
	*/
	| {readonly kind: 'whole'}
	/**
	The events of the response are passed on as they arrive.
	*/
	| {readonly kind: 'stream'}
	| {
			readonly kind: 'fault';
			readonly fault: {
				readonly outcome: Outcome;
				readonly reason: string;
				readonly end: 'failed' | 'refused' | 'misdirected';
			};
	  };

const misdirected = 421;

/**
Whether a status says that a server other than the intended one listens at the address.
*/
export const isMisdirected = (status: number): boolean =>
	status === misdirected;
const badRequest = 400;

/**
Decides how a response is handled. A success is valid only with the server's signature and without a content encoding,
since none was requested. A response with the ID of another request proves nothing about this one.
*/
export const judgeHead = (
	{status, header}: UpstreamHead,
	{requestId, route}: Exchange,
	names: WireHeaders,
	now: {readonly canRetry: boolean; readonly hasBegun: boolean},
): HeadVerdict => {
	if (header(names.requestId) !== requestId) {
		return fault('unknown', 'The answer belongs to another request', 'failed');
	}

	const isNotRun = header(names.notRun) !== undefined || isMisdirected(status);
	if (isNotRun && status !== badRequest) {
		return fault(
			'not-run',
			`The backend server refused with ${status}`,
			isMisdirected(status) ? 'misdirected' : 'refused',
		);
	}

	const isSuccess = status >= 200 && status < 300;
	if (isSuccess) {
		const isValid =
			header(names.signature) !== undefined &&
			header('content-encoding') === undefined;
		if (!isValid) {
			return fault('ran', 'The success has no valid signature', 'failed');
		}

		// Only events can be continued at another server, so any other body is passed on when it is complete.
		const isStream =
			route.kind === 'streaming' &&
			(!route.isResumable || isEventStream(header('content-type')));
		return !isStream && now.hasBegun
			? fault('ran', 'The continuation is not an event stream', 'failed')
			: {kind: isStream ? 'stream' : 'whole'};
	}

	// A failure is passed on to the caller, unless the request can be retried at another server.
	const isFailure = status >= 500 || now.hasBegun;
	return isFailure && (now.canRetry || now.hasBegun)
		? fault('ran', `The backend server answered ${status}`, 'failed')
		: {kind: 'whole'};
};

const fault = (
	outcome: Outcome,
	reason: string,
	end: 'failed' | 'refused' | 'misdirected',
): HeadVerdict => ({kind: 'fault', fault: {outcome, reason, end}});
