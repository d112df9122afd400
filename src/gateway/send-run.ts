import {
	farConnectTimeoutMs,
	nearConnectTimeoutMs,
	type UpstreamCall,
} from '../backends/index.ts';
import type {Member} from '../membership/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {giveUpRun, leaveLine} from './end-run.ts';
import {encodeHopCall} from './hop.ts';
import {connectionsToPeer, peerKey} from './peer-connections.ts';
import {createAnswerListener} from './pass-answer.ts';
import type {WaitingRequest} from './waiting-requests.ts';
import {lastEventIdHeader, leastUrgent} from './wire-headers.ts';

/**
The part of the target latency that a request may wait for room; with the way to the caller it is
refused within a quarter of it.
*/
export const waitingPart = 0.2;

/**
How long a request may wait for room at a node that has just started, in milliseconds. After a loss of
power the first node that is back is sent what the others will take a second later, and callers that
were cut off have no try left after a refusal.
*/
export const startPatienceMs = 1500;

// At a node that has just started a request waits for this part of its time at the most.
const startPatiencePart = 0.4;

/**
Sends a request to the best place that it may still go to. Without room anywhere it waits, unless
the node that forwarded it may know a better place.
*/
export const sendOrWait = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	if (isSent(context, run)) {
		return;
	}

	const {hop} = run.exchange;
	const isRefused = hop ? !hop.canWait : context.without.has('waiting');
	if (isRefused) {
		giveUpRun(context, run, noRoom);
		return;
	}

	const waiting = createWaitingRequest(context, run);
	run.waiting = waiting;
	context.line.add(waiting);
	context.onWaiting();
};

const noRoom = 'No backend server has room';

const createWaitingRequest = (
	context: DeliveryContext,
	run: DeliveryRun,
): WaitingRequest => {
	const now = context.clock();
	const {route} = run.exchange;
	return {
		priority: route.priority,
		since: now,
		until: run.hasBegun
			? now + route.targetLatencyMs
			: Math.max(now, longestWaitUntil(context, run)),
		roomKey: [
			run.exchange.service,
			route.name,
			...run.excluded,
			...run.regions,
		].join(' '),
		attempt: () => isSent(context, run),
		giveUp() {
			run.steps.push('gave-up-waiting');
			giveUpRun(context, run, noRoom);
		},
	};
};

const longestWaitUntil = (
	{hasSettled, without}: DeliveryContext,
	{exchange}: DeliveryRun,
): number => {
	const {route, receivedAt, expiresAt} = exchange;
	const usual = route.targetLatencyMs * waitingPart;
	const patience = Math.min(
		startPatienceMs,
		(expiresAt - receivedAt) * startPatiencePart,
	);
	const isPatient = !hasSettled() && !without.has('start-patience');
	return receivedAt + (isPatient ? Math.max(usual, patience) : usual);
};

// False without room anywhere. A request that is over needs none.
const isSent = (context: DeliveryContext, run: DeliveryRun): boolean => {
	if (run.isOver) {
		return true;
	}

	const choice = context.choose(
		run.exchange,
		{regions: run.regions, members: run.members},
		run.placement,
		context.clock(),
	);
	switch (choice.kind) {
		case 'server': {
			leaveLine(context, run);
			callServer(context, run, choice.id);
			return true;
		}

		case 'peer': {
			leaveLine(context, run);
			callNode(context, run, choice.member, choice.region);
			return true;
		}

		case 'full':
		case 'none': {
			return false;
		}
	}
};

// Servers are told how urgent a request is. Where all looked alike to engines, short questions queued
// behind long drafts: on a day with one region evacuated and another dark 12 % of the requests came late,
// told 9 %, and the day's credit less prices rose by 0.055 (three pairs of plays).
const callServer = (
	context: DeliveryContext,
	run: DeliveryRun,
	id: string,
): void => {
	const {clock, connectionsTo, fleet, headers, without} = context;
	const attempt = fleet.begin(id, run.placement, clock());
	run.excluded.add(id);
	run.tried.push(id);
	run.steps.push(`server ${id}`);
	const urgency = Math.min(leastUrgent, run.exchange.route.priority);
	startCall(
		context,
		run,
		{attempt, server: id, member: undefined, region: undefined},
		{
			key: `server ${id}`,
			address: fleet.server(id)!.address,
			maximumConnections: connectionsTo(run.exchange.service),
			connectTimeoutMs: nearConnectTimeoutMs,
			headers: onwardHeaders(context, run, [
				headers.expectedServer,
				id,
				...(without.has('urgency') ? [] : [headers.urgency, String(urgency)]),
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
	run.members.add(member.id);
	run.steps.push(`node ${member.id} in ${region}`);
	const hopCall = encodeHopCall({
		origin: context.self,
		version: context.routesVersion(),
		route: exchange.route.name,
		service: exchange.service,
		remainingMs: exchange.expiresAt - context.clock(),
		excluded: [...run.excluded],
		canWait: !context.isServedHere(exchange.route),
	});
	startCall(
		context,
		run,
		{attempt: undefined, server: undefined, member, region},
		{
			key: peerKey(member),
			address: member.peerAddress,
			maximumConnections: connectionsToPeer,
			connectTimeoutMs: farConnectTimeoutMs,
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
