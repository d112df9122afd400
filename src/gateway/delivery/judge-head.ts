import type {UpstreamHead} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import type {Exchange} from '../exchange.ts';
import type {WireHeaders} from '../wire-headers.ts';

/**
What the head of a backend server's answer amounts to.
*/
export type HeadVerdict =
	/**
	The answer is kept until it is whole and then passed on.
	*/
	| {readonly kind: 'whole'}
	/**
	Its events are passed on as they come.
	*/
	| {readonly kind: 'stream'}
	| {
			readonly kind: 'fault';
			readonly fault: {
				readonly outcome: Outcome;
				readonly reason: string;
				readonly end: 'failed' | 'refused';
			};
	  };

const misdirected = 421;

/**
Whether a status says that another server has the address than the one that was meant.
*/
export const isMisdirected = (status: number): boolean =>
	status === misdirected;
const badRequest = 400;

/**
Judges the head of an answer. A success counts only with the server's signature and without an
encoding that nobody asked for; an answer that names another request belongs to that one.
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
			'refused',
		);
	}

	const isSuccess = status >= 200 && status < 300;
	if (isSuccess) {
		const isSound =
			header(names.signature) !== undefined &&
			header('content-encoding') === undefined;
		return isSound
			? {kind: route.kind === 'streaming' ? 'stream' : 'whole'}
			: fault('ran', 'The success has no valid signature', 'failed');
	}

	// A failure is the answer of the server, unless another one may do better.
	const isFailure = status >= 500 || now.hasBegun;
	return isFailure && (now.canRetry || now.hasBegun)
		? fault('ran', `The backend server answered ${status}`, 'failed')
		: {kind: 'whole'};
};

const fault = (
	outcome: Outcome,
	reason: string,
	end: 'failed' | 'refused',
): HeadVerdict => ({kind: 'fault', fault: {outcome, reason, end}});
