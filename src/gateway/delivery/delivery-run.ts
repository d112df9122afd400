import type {
	BackendAttempt,
	BackendAttemptEnd,
	OpenCall,
	Placement,
} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import type {Member} from '../../membership/index.ts';
import {isRepeatable, placementPart} from '../../routes/index.ts';
import type {ResponseSink, Exchange} from '../exchange.ts';
import type {EventRelay} from './event-relay.ts';
import type {QueuedRequest} from './request-queue.ts';

/**
The call to a backend server or another node that a request waits for.
*/
export type CurrentCall = {
	readonly open: () => OpenCall;
	/**
	Given with `server` for a call to a backend server.
	*/
	readonly attempt: BackendAttempt | undefined;
	readonly server: string | undefined;
	/**
	Names the life of that server.
	*/
	readonly incarnationId: string | undefined;
	readonly sentAt: number;
	/**
	Given with `region` for a call to another node.
	*/
	readonly member: Member | undefined;
	/**
	Region of the node that it was sent to.
	*/
	readonly region: string | undefined;
};

/**
A request under way, from its delivery to its end.
*/
export type DeliveryRun = {
	readonly exchange: Exchange;
	readonly sink: ResponseSink;
	readonly placement: Placement;
	/**
	Backend servers that are not to get it again, those that other nodes named included.
	*/
	readonly excluded: Set<string>;
	/**
	Backend servers that may have received it from here or by way of another node, in order.
	*/
	readonly triedServers: string[];
	/**
	Regions that had no room for it.
	*/
	readonly fullRegions: Set<string>;
	/**
	Nodes that it was sent to.
	*/
	readonly triedNodes: Set<string>;
	/**
	What was tried, in order, for the record.
	*/
	readonly steps: string[];
	readonly isRepeatable: boolean;
	/**
	Ends it when its time is over.
	*/
	timer: NodeJS.Timeout | undefined;
	queued: QueuedRequest | undefined;
	/**
	Milliseconds that it waited for room so far.
	*/
	waitedMs: number;
	current: CurrentCall | undefined;
	/**
	The gravest outcome of its calls so far.
	*/
	outcome: Outcome;
	/**
	Given once a stream that may be taken up again has begun.
	*/
	relay: EventRelay | undefined;
	/**
	Whether a backend server answered with a fault and the request was sent on.
	*/
	hasFaultAnswer: boolean;
	/**
	Whether the head of a stream went to the caller.
	*/
	hasBegun: boolean;
	firstByteAt: number | undefined;
	/**
	Status of the stream that went to the caller.
	*/
	status: number;
	/**
	When the latest piece of a stream came.
	*/
	lastChunkAt: number | undefined;
	/**
	The longest time between two pieces of the stream so far, in milliseconds.
	*/
	longestPauseMs: number;
	/**
	Whether there was no server at all that it might go to when it was last looked for, whatever was tried.
	*/
	hasNoCandidate: boolean;
	/**
	Given while all servers that it might go to here have named limits: requests a second that this node may send them.
	*/
	allowedPerSecond: number | undefined;
	/**
	Given while all servers that it might go to here rest: when the first of them may be sent a request.
	*/
	backoffUntil: number | undefined;
	/**
	Whether there was a server here that it might go to when it was last looked for.
	*/
	hasLocalServer: boolean;
	/**
	When a server of another region may be sent it, where all of that region rest.
	*/
	remoteAvailableAt: number | undefined;
	/**
	Whether it is not sent on because servers crashed each time that they ran it.
	*/
	isQuarantined: boolean;
	isOver: boolean;
	/**
	Whether the caller left while the request is left to end.
	*/
	hasCallerLeft: boolean;
};

/**
Why a call brought no answer that can be passed on.
*/
export type CallFault = {
	readonly outcome: Outcome;
	readonly reason: string;
	/**
	Whether a backend server may have received the request.
	*/
	readonly reachedServer: boolean;
	readonly end: BackendAttemptEnd;
};

/**
Builds the run of a request that was sent nowhere yet.
*/
export const createDeliveryRun = (
	exchange: Exchange,
	sink: ResponseSink,
): DeliveryRun => {
	// The placement sees each server that is excluded later.
	const excluded = new Set<string>(exchange.hop?.excluded);
	return {
		exchange,
		sink,
		excluded,
		triedServers: [],
		placement: {
			service: exchange.service,
			sharedPart: exchange.prompt && placementPart(exchange.prompt),
			promptTokens: exchange.prompt?.tokensIn ?? 0,
			targetMs: exchange.route.targetLatencyMs,
			excluded,
		},
		fullRegions: new Set(),
		triedNodes: new Set(),
		steps: [],
		isRepeatable: isRepeatable(exchange.route),
		timer: undefined,
		queued: undefined,
		waitedMs: 0,
		current: undefined,
		outcome: 'not-run',
		relay: undefined,
		hasFaultAnswer: false,
		hasBegun: false,
		firstByteAt: undefined,
		status: 0,
		lastChunkAt: undefined,
		longestPauseMs: 0,
		hasNoCandidate: false,
		allowedPerSecond: undefined,
		backoffUntil: undefined,
		hasLocalServer: false,
		remoteAvailableAt: undefined,
		isQuarantined: false,
		isOver: false,
		hasCallerLeft: false,
	};
};

/**
Whether a request may be sent to one more backend server. A forwarded one may not: the node that
sent it decides.
*/
export const hasAttemptLeft = (
	{exchange, triedServers}: DeliveryRun,
	now: number,
): boolean =>
	!exchange.hop &&
	triedServers.length < exchange.route.maximumAttempts &&
	now < exchange.expiresAt;
