import type {
	BackendAttempt,
	BackendAttemptEnd,
	OpenCall,
	Placement,
} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import type {Member} from '../../membership/index.ts';
import type {ReceivedBody} from '../../response-bodies/index.ts';
import {isRepeatable, placementPart} from '../../routes/index.ts';
import type {StreamOrigin} from '../../stream-origins/index.ts';
import type {Exchange, RequestEnder, ResponseSink} from '../exchange.ts';
import type {BufferedAnswer} from './answer-buffer.ts';
import type {EventRelay} from './event-relay.ts';
import type {QueuedRequest} from './request-queue.ts';

/**
What was known when an attempt began.
*/
export type AttemptStart = {
	/**
	Requests of all nodes in flight at the backend server, including this one; undefined for a call to another node.
	*/
	readonly load: number | undefined;
	readonly remainingMs: number;
};

/**
The open call of a request, to a backend server or to another node.
*/
export type CurrentCall = {
	readonly open: () => OpenCall;
	/**
	Set, as is `server`, for a call to a backend server.
	*/
	readonly attempt: BackendAttempt | undefined;
	readonly server: string | undefined;
	/**
	Identifies the incarnation of that server.
	*/
	readonly incarnationId: string | undefined;
	readonly sentAt: number;
	/**
	The time at which the latest byte arrived.
	*/
	lastByteAt: number | undefined;
	/**
	The body of its response, while it is kept until it is whole.
	*/
	kept: BufferedAnswer | undefined;
	/**
	Set, as is `region`, for a call to another node.
	*/
	readonly member: Member | undefined;
	/**
	The region of that node.
	*/
	readonly region: string | undefined;
	/**
	Version of the software of the server, for a call to a backend server.
	*/
	readonly softwareVersion: string | undefined;
	readonly start: AttemptStart;
};

/**
A second call of a request whose current call is silent. The first of the two that really answers becomes the only one.
*/
export type Hedge = {
	readonly call: CurrentCall;
	/**
	Makes it the current call and handles what it has received so far.
	*/
	readonly adopt: () => void;
};

/**
The state of a request in flight.
*/
export type DeliveryRun = {
	readonly exchange: Exchange;
	readonly sink: ResponseSink;
	readonly placement: Placement;
	/**
	Backend servers that must not receive the request again, including those that other nodes reported.
	*/
	readonly excluded: Set<string>;
	/**
	Backend servers that may have received the request from this node or through another one, in order.
	*/
	readonly triedServers: string[];
	/**
	Regions that had no capacity for the request.
	*/
	readonly fullRegions: Set<string>;
	/**
	Nodes that the request was sent to, except those where only the backend server failed.
	*/
	readonly triedNodes: Set<string>;
	/**
	The steps of the delivery in order, for its record.
	*/
	readonly steps: string[];
	readonly isRepeatable: boolean;
	/**
	Ends the request at its deadline.
	*/
	timer: NodeJS.Timeout | undefined;
	queued: QueuedRequest | undefined;
	/**
	Time that the request has spent in the queue so far, in milliseconds.
	*/
	waitedMs: number;
	current: CurrentCall | undefined;
	hedge: Hedge | undefined;
	/**
	The current call or, after its end, the one before.
	*/
	latestCall: CurrentCall | undefined;
	/**
	Who ended the latest call, if it ended without a complete response.
	*/
	endedBy: RequestEnder | undefined;
	/**
	Version of the routes when the request was received.
	*/
	readonly receivedRoutesVersion: number;
	/**
	The most severe outcome of the calls so far.
	*/
	outcome: Outcome;
	/**
	The body of the current or latest response that is passed on.
	*/
	body: ReceivedBody | undefined;
	/**
	Set once a resumable stream has started.
	*/
	relay: EventRelay | undefined;
	/**
	Version of the software of the server that the current call reached, as far as this node knows it.
	*/
	currentVersion: string | undefined;
	/**
	What began the stream, once an event of it was passed on to the caller by this request or an earlier one. Undefined also if the
	version that began it is unknown.
	*/
	origin: StreamOrigin | undefined;
	/**
	Whether an event was passed on.
	*/
	hasPassedEvent: boolean;
	/**
	Versions of the software whose events were passed on, in order.
	*/
	readonly softwareVersions: string[];
	/**
	Whether a backend server responded with a server error that was not passed on.
	*/
	hasDiscardedServerError: boolean;
	/**
	Whether the head of a stream was sent to the caller.
	*/
	hasBegun: boolean;
	firstByteAt: number | undefined;
	/**
	The status that the caller received with the stream.
	*/
	status: number;
	/**
	State of the latest attempt when it began.
	*/
	start: AttemptStart | undefined;
	/**
	Number of chunks of the stream so far.
	*/
	chunks: number;
	/**
	The time at which the latest chunk of the stream arrived.
	*/
	lastChunkAt: number | undefined;
	/**
	The longest time between two chunks of the stream so far, in milliseconds.
	*/
	longestPauseMs: number;
	/**
	Whether a server that fails when it has to refuse too many requests has refused this one.
	*/
	wasRefusedLeased: boolean;
	/**
	Whether the latest attempt to send the request found no server or node for it although none was excluded.
	*/
	hasNoCandidate: boolean;
	/**
	Set while all servers of the local region that may serve the request are rate-limited: the requests per second that this
	node may send to them.
	*/
	allowedPerSecond: number | undefined;
	/**
	Set while all servers of the local region that may serve the request are in backoff: when the first backoff ends.
	*/
	backoffUntil: number | undefined;
	/**
	Whether the latest attempt to send the request found servers of the local region that may serve it but are full.
	*/
	hasLocalServer: boolean;
	/**
	Set if all servers of a region that refused the request are in backoff: when the first backoff ends.
	*/
	remoteAvailableAt: number | undefined;
	/**
	Whether the request is quarantined, because servers crashed each time they ran it.
	*/
	isQuarantined: boolean;
	isOver: boolean;
	/**
	Whether the caller has closed its connection while the request runs to completion.
	*/
	hasCallerLeft: boolean;
};

/**
Why a call produced no response that can be passed on.
*/
export type CallFault = {
	readonly outcome: Outcome;
	readonly reason: string;
	/**
	Whether a backend server may have received the request.
	*/
	readonly reachedServer: boolean;
	readonly end: BackendAttemptEnd;
	/**
	Whether no other server or node could receive the request either.
	*/
	readonly isFinal?: boolean;
};

/**
Creates the state of a request that has not been sent yet.

@param exchange The request.
@param sink Destination of the response.
@param receivedRoutesVersion Version of the routes on receipt of the request.
@param origin What began the stream that the request continues.
*/
export const createDeliveryRun = (
	exchange: Exchange,
	sink: ResponseSink,
	receivedRoutesVersion: number,
	origin?: StreamOrigin,
): DeliveryRun => {
	// The placement shares this set, so it also sees servers that are excluded later.
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
			priority: exchange.route.priority,
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
		hedge: undefined,
		latestCall: undefined,
		endedBy: undefined,
		receivedRoutesVersion,
		outcome: 'not-run',
		body: undefined,
		relay: undefined,
		currentVersion: undefined,
		origin,
		hasPassedEvent: false,
		softwareVersions: [],
		hasDiscardedServerError: false,
		hasBegun: false,
		firstByteAt: undefined,
		status: 0,
		start: undefined,
		chunks: 0,
		lastChunkAt: undefined,
		longestPauseMs: 0,
		wasRefusedLeased: false,
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
Makes a call the current one of a request.
*/
export const setCurrentCall = (run: DeliveryRun, call: CurrentCall): void => {
	run.current = call;
	run.latestCall = call;
	run.endedBy = undefined;
	run.start = call.start;
	run.currentVersion = call.softwareVersion;
};

/**
Whether a request may be sent to another backend server. A forwarded request may not, because its origin node decides
about retries.
*/
export const hasAttemptLeft = (
	{exchange, triedServers}: DeliveryRun,
	now: number,
): boolean =>
	!exchange.hop &&
	triedServers.length < exchange.route.maximumAttempts &&
	now < exchange.expiresAt;
