import {
	peerConnectTimeoutMs,
	backendConnectTimeoutMs,
	type Placement,
	type UpstreamCall,
	type UpstreamListener,
} from '../../backends/index.ts';
import {incarnationIdOf, softwareVersionOf} from '../../registry/index.ts';
import type {StreamOrigin} from '../../stream-origins/index.ts';
import type {UpstreamChoice} from '../choosing/choose-upstream.ts';
import {lastEventIdHeader, leastUrgent} from '../wire-headers.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	setCurrentCall,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {failRun, leaveQueue, refuseQuarantined, refuseRun} from './end-run.ts';
import {encodeHopCall} from './hop.ts';
import {
	maximumConnectionsPerPeer,
	peerConnectionKey,
} from './peer-connections.ts';
import {createAnswerListener} from './pass-answer.ts';
import {
	canQueueHere,
	canBeHeldBack,
	noCapacityReason,
	waitForCapacity,
} from './wait-for-capacity.ts';

/**
Sends a request to the best remaining target. If there is no capacity anywhere, the request is queued while it is
predicted to be served in time. Otherwise it is refused at once, also if it was forwarded by a node that may know a
better target.
*/
export const sendOrQueue = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	queueUnlessSent(context, run, trySend(context, run));
};

/**
Queues a request that a server with a limit on refusals has refused. It is sent again when capacity has become free, or refused if it has
been here before: the servers of the service are as full.
*/
export const queueRefused = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	if (run.wasRefusedLeased) {
		failRun(context, run, noCapacityReason);
		return;
	}

	run.wasRefusedLeased = true;
	queueUnlessSent(context, run, 'awaiting-slot');
};

const queueUnlessSent = (
	context: DeliveryContext,
	run: DeliveryRun,
	result: SendResult,
): void => {
	if (result === 'sent') {
		return;
	}

	if (result === 'none' && run.origin) {
		failUnservedVersion(context, run, run.origin);
		return;
	}

	let isCapacityUnknown = result === 'awaiting-slot';
	const isSentNow = () => {
		const next = trySend(context, run);
		if (next === 'none' && run.origin) {
			failUnservedVersion(context, run, run.origin);
		}

		if (isCapacityUnknown && next === 'full') {
			isCapacityUnknown = false;
			if (!canQueueRun(context, run, next)) {
				failRun(context, run, noCapacityReason);
			}
		}

		return next === 'sent' || run.isOver;
	};

	const isRefused =
		(result === 'full' || result === 'none') &&
		!canQueueRun(context, run, result);
	if (isRefused) {
		failRun(
			context,
			run,
			run.hasNoCandidate ? noServerReason : noCapacityReason,
		);
		return;
	}

	waitForCapacity(context, run, isSentNow);
};

const canQueueRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	result: 'full' | 'none',
): boolean => {
	const hasNoTarget = result === 'none' && run.fullRegions.size === 0;
	run.hasNoCandidate = hasNoTarget && run.excluded.size === 0;
	const {hop} = run.exchange;
	const canQueue = hop ? hop.canWait : !context.without.has('waiting');
	return canQueue && canQueueHere(context, run, hasNoTarget);
};

// Fails a request that is bound to a version for which no server is left, or only in regions that have no capacity.
const failUnservedVersion = (
	context: DeliveryContext,
	run: DeliveryRun,
	{service, softwareVersion}: StreamOrigin,
): void => {
	const isUnserved =
		run.fullRegions.size === 0 &&
		!context.fleet.hasVersion(service, softwareVersion);
	const reason = `No backend server with software ${softwareVersion}, which began the stream, may serve it`;
	if (isUnserved && !run.hasBegun && run.outcome === 'not-run') {
		refuseRun(context, run, 'not-resumable', reason);
	} else {
		failRun(context, run, reason);
	}
};

const noServerReason = 'No backend server that may serve it is in use';

type SendResult = 'sent' | 'full' | 'none' | 'held' | 'awaiting-slot';

// A request that has ended counts as sent, because it needs no capacity.
const trySend = (context: DeliveryContext, run: DeliveryRun): SendResult => {
	if (run.isOver) {
		return 'sent';
	}

	if (isKeyRevoked(context, run)) {
		refuseRun(context, run, 'unauthenticated', keyRevokedReason);
		return 'sent';
	}

	const status = context.quarantineStatus(run.exchange);
	if (status.kind === 'quarantined') {
		refuseQuarantined(context, run);
		return 'sent';
	}

	const canBeHeld = canBeHeldBack(context, run);
	if (canBeHeld && status.kind === 'pending') {
		return 'held';
	}

	const isIsolated = canBeHeld && status.kind !== 'clear';
	const isOutranked = isOutrankedInQueue(context, run);
	const placement = {
		...run.placement,
		...((isIsolated || isOutranked) && {
			isIsolated,
			hasMoreUrgentWaiter: isOutranked,
		}),
		...(run.origin && {softwareVersion: run.origin.softwareVersion}),
	};
	const choice = context.choose(
		run.exchange,
		{regions: unsuitableRegions(context, run), members: run.triedNodes},
		placement,
		context.clock(),
	);
	recordChoice(run, choice, context.clock());
	if (choice.kind === 'full' && choice.isAwaitingSlot) {
		return 'awaiting-slot';
	}

	if (isIsolated && choice.kind === 'full') {
		return 'held';
	}

	switch (choice.kind) {
		case 'server':
		case 'peer': {
			leaveQueue(context, run);
			callTarget(context, run, choice, {
				placement,
				begin(call) {
					setCurrentCall(run, call);
					return createAnswerListener(context, run, call);
				},
			});
			return 'sent';
		}

		case 'full':
		case 'none': {
			return choice.kind;
		}
	}
};

/**
Returns the regions that refused a request, and those without a server of the version to which it is bound.
*/
export const unsuitableRegions = (
	{regionsWithout}: DeliveryContext,
	{fullRegions, origin}: DeliveryRun,
): ReadonlySet<string> =>
	origin
		? new Set([
				...fullRegions,
				...regionsWithout(origin.service, origin.softwareVersion),
			])
		: fullRegions;

// Keeps what the choice says about when there will be capacity.
const recordChoice = (
	run: DeliveryRun,
	choice: UpstreamChoice,
	now: number,
): void => {
	const full = choice.kind === 'full' ? choice : undefined;
	run.hasLocalServer = full !== undefined;
	run.allowedPerSecond = full?.perSecond;
	run.backoffUntil =
		full?.backoffRemainingMs === undefined
			? undefined
			: now + full.backoffRemainingMs;
};

// A rate-limited server accepts few requests. Queued requests must not be overtaken by less urgent ones, nor by new ones
// of the same priority.
const isOutrankedInQueue = (
	{queue, backendLimits}: DeliveryContext,
	{exchange: {service, route}, queued}: DeliveryRun,
): boolean =>
	backendLimits.hasAny() &&
	queue.countAhead(service, queued ? route.priority - 1 : route.priority) > 0;

const keyRevokedReason =
	'The client key was taken away while the request waited';

// The client key may have been revoked while the request was queued. Only the origin node checks this, because a node to
// which the request was forwarded may have older accounts.
const isKeyRevoked = (
	{isClientKnown}: DeliveryContext,
	{exchange: {client, hop, route}, outcome}: DeliveryRun,
): boolean =>
	client !== undefined &&
	hop === undefined &&
	!route.isPublic &&
	outcome === 'not-run' &&
	!isClientKnown(client);

/**
A target that accepts a request now.
*/
export type CallTarget = Extract<
	UpstreamChoice,
	{readonly kind: 'server' | 'peer'}
>;

/**
How a request is sent to a target.
*/
export type Sending = {
	readonly placement: Placement;
	/**
	Receives the call that is about to begin, and returns the listener of its response.
	*/
	readonly begin: (call: CurrentCall) => UpstreamListener;
};

/**
Sends a request to a target.
*/
export const callTarget = (
	context: DeliveryContext,
	run: DeliveryRun,
	target: CallTarget,
	sending: Sending,
): void => {
	switch (target.kind) {
		case 'server': {
			callServer(context, run, target.id, sending);
			return;
		}

		case 'peer': {
			callNode(context, run, target, sending);
		}
	}
};

// Sends the urgency with the request. Without it, engines treat all requests alike, and short ones queue behind long ones.
const callServer = (
	context: DeliveryContext,
	run: DeliveryRun,
	id: string,
	{placement, begin}: Sending,
): void => {
	const {
		clock,
		connectionShare,
		fleet,
		headers,
		canSend,
		announcements,
		without,
	} = context;
	const sentAt = clock();
	const server = fleet.server(id)!;
	const attempt = fleet.begin(id, placement, sentAt);
	const start = {
		load: fleet.loadAt(id, sentAt),
		remainingMs: run.exchange.expiresAt - sentAt,
	};
	const incarnationId = incarnationIdOf(server);
	announcements.recordSend(incarnationId, sentAt);
	run.excluded.add(id);
	run.triedServers.push(id);
	const softwareVersion = softwareVersionOf(server);
	run.steps.push(`server ${id} (software ${softwareVersion})`);
	const {client, service} = run.exchange;
	const connections = connectionShare(service, id);
	const urgency = Math.min(leastUrgent, run.exchange.route.priority);
	startCall(
		context,
		run,
		{
			attempt,
			server: id,
			incarnationId,
			sentAt,
			member: undefined,
			region: undefined,
			softwareVersion,
			start,
		},
		{
			key: `server ${id}`,
			address: server.address,
			maximumConnections: connections.maximum,
			isLastOnConnection: !connections.isPersistent,
			canBegin: () => canSend(id, incarnationId),
			connectTimeoutMs: backendConnectTimeoutMs,
			headers: nextHopHeaders(context, run, [
				headers.expectedServer,
				id,
				...(without.has('urgency') ? [] : [headers.urgency, String(urgency)]),
				...(client ? [headers.client, client.name] : []),
			]),
			begin,
		},
	);
};

const callNode = (
	context: DeliveryContext,
	run: DeliveryRun,
	{member, region}: Extract<CallTarget, {readonly kind: 'peer'}>,
	{begin}: Sending,
): void => {
	const {exchange} = run;
	const remainingMs = exchange.expiresAt - context.clock();
	run.triedNodes.add(member.id);
	run.steps.push(`node ${member.id} in ${region}`);
	const hopCall = encodeHopCall({
		origin: context.self,
		version: context.routesVersion(),
		route: exchange.route.name,
		service: exchange.service,
		remainingMs,
		excluded: [...run.excluded],
		canWait:
			!context.isServedHere(exchange.route) ||
			context.isOnlyRegion(exchange, region) ||
			(run.origin !== undefined &&
				!context.fleet.hasVersion(
					run.origin.service,
					run.origin.softwareVersion,
				)),
		softwareVersion: run.origin?.softwareVersion,
		client: exchange.client,
	});
	startCall(
		context,
		run,
		{
			attempt: undefined,
			server: undefined,
			incarnationId: undefined,
			sentAt: context.clock(),
			member,
			region,
			softwareVersion: undefined,
			start: {load: undefined, remainingMs},
		},
		{
			key: peerConnectionKey(member),
			address: member.peerAddress,
			maximumConnections: maximumConnectionsPerPeer,
			connectTimeoutMs: peerConnectTimeoutMs,
			headers: nextHopHeaders(context, run, hopCall),
			begin,
		},
	);
};

const startCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	to: Omit<CurrentCall, 'open' | 'lastByteAt'>,
	{
		begin,
		...call
	}: Omit<UpstreamCall, 'method' | 'target' | 'body'> & Pick<Sending, 'begin'>,
): void => {
	const {method, target, body} = run.exchange;
	// `open` is assigned below, so the client must not notify the listener before `call` has returned.
	const current: CurrentCall = {
		...to,
		lastByteAt: undefined,
		open: () => open,
	};
	const open = context.client.call(
		{...call, method, target, body},
		begin(current),
	);
};

// Returns the headers for the next hop: the caller's headers and those that the next hop needs.
const nextHopHeaders = (
	{clock, headers}: DeliveryContext,
	{exchange, relay}: DeliveryRun,
	extra: readonly string[],
): readonly string[] => {
	const resumeFrom = relay?.lastEventId() ?? exchange.lastEventId;
	const remainingMs = Math.max(1, Math.round(exchange.expiresAt - clock()));
	return [
		...exchange.headers,
		headers.remainingMs,
		String(remainingMs),
		...(resumeFrom === undefined ? [] : [lastEventIdHeader, resumeFrom]),
		...extra,
	];
};
