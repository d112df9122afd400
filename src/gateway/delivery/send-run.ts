import {
	peerConnectTimeoutMs,
	backendConnectTimeoutMs,
	type Placement,
	type UpstreamCall,
} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {incarnationIdOf} from '../../registry/index.ts';
import {lastEventIdHeader, leastUrgent} from '../wire-headers.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {failRun, leaveQueue, refuseQuarantined, refuseRun} from './end-run.ts';
import {encodeHopCall} from './hop.ts';
import {
	maximumConnectionsPerPeer,
	peerConnectionKey,
} from './peer-connections.ts';
import {createAnswerListener} from './pass-answer.ts';
import {
	canWaitHere,
	canBeHeldBack,
	noCapacityReason,
	waitForCapacity,
} from './wait-for-capacity.ts';

/**
Sends a request to the best place that it may still go to. Without room anywhere it waits for as long as it
is predicted to be served in time for its caller; it is refused at once otherwise, and where the node that
forwarded it may know a better place.
*/
export const sendOrWait = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	const sent = trySend(context, run);
	if (sent === 'sent') {
		return;
	}

	const isSentNow = () => trySend(context, run) === 'sent';
	if (sent === 'held') {
		waitForCapacity(context, run, isSentNow);
		return;
	}

	const hasNoPlace = sent === 'none' && run.fullRegions.size === 0;
	run.hasNoCandidate = hasNoPlace && run.excluded.size === 0;
	const {hop} = run.exchange;
	const isWanted = hop ? hop.canWait : !context.without.has('waiting');
	if (!isWanted || !canWaitHere(context, run, hasNoPlace)) {
		failRun(context, run, run.hasNoCandidate ? noServer : noCapacityReason);
		return;
	}

	waitForCapacity(context, run, isSentNow);
};

const noServer = 'No backend server that may serve it is in use';

// A request that is over needs no room.
const trySend = (
	context: DeliveryContext,
	run: DeliveryRun,
): 'sent' | 'full' | 'none' | 'held' => {
	if (run.isOver) {
		return 'sent';
	}

	if (hasLostKey(context, run)) {
		refuseRun(context, run, 'unauthenticated', keyTaken);
		return 'sent';
	}

	const standing = context.quarantineStatus(run.exchange);
	if (standing.kind === 'quarantined') {
		refuseQuarantined(context, run);
		return 'sent';
	}

	const canBeHeld = canBeHeldBack(context, run);
	if (canBeHeld && standing.kind === 'pending') {
		return 'held';
	}

	const isIsolated = canBeHeld && standing.kind !== 'clear';
	const isOutranked = isOutrankedInLine(context, run);
	const placement =
		isIsolated || isOutranked
			? {...run.placement, isIsolated, hasMoreUrgentWaiter: isOutranked}
			: run.placement;
	const choice = context.choose(
		run.exchange,
		{regions: run.fullRegions, members: run.triedNodes},
		placement,
		context.clock(),
	);
	run.hasLocalServer = choice.kind === 'full';
	const restLeftMs =
		choice.kind === 'full' ? choice.backoffRemainingMs : undefined;
	run.allowedPerSecond = choice.kind === 'full' ? choice.perSecond : undefined;
	run.backoffUntil =
		restLeftMs === undefined ? undefined : context.clock() + restLeftMs;
	if (isIsolated && choice.kind === 'full') {
		return 'held';
	}

	switch (choice.kind) {
		case 'server': {
			leaveQueue(context, run);
			callServer(context, run, choice.id, placement);
			return 'sent';
		}

		case 'peer': {
			leaveQueue(context, run);
			callNode(context, run, choice.member, choice.region);
			return 'sent';
		}

		case 'full':
		case 'none': {
			return choice.kind;
		}
	}
};

// A limited server takes few requests: those that wait for it are not to be overtaken by less urgent ones, nor by new ones
// that are as urgent.
const isOutrankedInLine = (
	{queue, backendLimits}: DeliveryContext,
	{exchange: {service, route}, queued}: DeliveryRun,
): boolean =>
	backendLimits.hasAny() &&
	queue.countAhead(service, queued ? route.priority - 1 : route.priority) > 0;

const keyTaken = 'The client key was taken away while the request waited';

// The key of a request that waited may have been taken away meanwhile. A node that was sent the request may know the
// account less well than the one that sent it.
const hasLostKey = (
	{isClientKnown}: DeliveryContext,
	{exchange: {client, hop, route}, outcome}: DeliveryRun,
): boolean =>
	client !== undefined &&
	hop === undefined &&
	!route.isPublic &&
	outcome === 'not-run' &&
	!isClientKnown(client);

// Servers are told how urgent a request is: where all look alike to engines, short questions queue behind long drafts.
const callServer = (
	context: DeliveryContext,
	run: DeliveryRun,
	id: string,
	placement: Placement,
): void => {
	const {
		clock,
		connectionShare,
		fleet,
		headers,
		canReceive,
		announcements,
		without,
	} = context;
	const sentAt = clock();
	const server = fleet.server(id)!;
	const attempt = fleet.begin(id, placement, sentAt);
	const incarnationId = incarnationIdOf(server);
	announcements.recordSend(incarnationId, sentAt);
	run.excluded.add(id);
	run.triedServers.push(id);
	run.steps.push(`server ${id}`);
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
		},
		{
			key: `server ${id}`,
			address: server.address,
			maximumConnections: connections.maximum,
			isLastOnConnection: !connections.isPersistent,
			canBegin: () => canReceive(id, incarnationId),
			connectTimeoutMs: backendConnectTimeoutMs,
			headers: onwardHeaders(context, run, [
				headers.expectedServer,
				id,
				...(without.has('urgency') ? [] : [headers.urgency, String(urgency)]),
				...(client ? [headers.client, client.name] : []),
			]),
		},
	);
};

const callNode = (
	context: DeliveryContext,
	run: DeliveryRun,
	member: Member,
	region: string,
): void => {
	const {exchange} = run;
	run.triedNodes.add(member.id);
	run.steps.push(`node ${member.id} in ${region}`);
	const hopCall = encodeHopCall({
		origin: context.self,
		version: context.routesVersion(),
		route: exchange.route.name,
		service: exchange.service,
		remainingMs: exchange.expiresAt - context.clock(),
		excluded: [...run.excluded],
		canWait: !context.isServedHere(exchange.route),
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
		},
		{
			key: peerConnectionKey(member),
			address: member.peerAddress,
			maximumConnections: maximumConnectionsPerPeer,
			connectTimeoutMs: peerConnectTimeoutMs,
			headers: onwardHeaders(context, run, hopCall),
		},
	);
};

const startCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	to: Omit<CurrentCall, 'open'>,
	call: Omit<UpstreamCall, 'method' | 'target' | 'body'>,
): void => {
	const {method, target, body} = run.exchange;
	// The listener may be told of the call's failure only after `call` has returned.
	const current: CurrentCall = {...to, open: () => open};
	run.current = current;
	const open = context.client.call(
		{...call, method, target, body},
		createAnswerListener(context, run, current),
	);
};

// What goes to the next hop: the caller's headers, and what the next one needs to know.
const onwardHeaders = (
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
