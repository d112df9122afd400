import {isConnectFailure, type UpstreamFailure} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import type {RequestEnder} from '../exchange.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	hasAttemptLeft,
	type CallFault,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {closeRun, endCurrentCall, failRun, recordRun} from './end-run.ts';
import type {HopResult} from './hop.ts';
import {boundOriginOf} from './take-up.ts';

const severity: Readonly<Record<Outcome, number>> = {
	'not-run': 0,
	unknown: 1,
	ran: 2,
};

/**
Ends the current call with a fault, and sends the request elsewhere if it may be retried.
*/
export const failCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	fault: CallFault,
	endedBy: RequestEnder = run.current?.member ? 'other-node' : 'backend-server',
): void => {
	run.steps.push(`${fault.outcome}: ${fault.reason}`);
	run.endedBy = endedBy;
	const server = run.current?.server;
	const wasLocal = server !== undefined;
	endCurrentCall(context, run, fault.end, true);
	raiseOutcome(run, fault.outcome);
	if (wasLocal && !fault.reachedServer) {
		forgetTry(run, server);
	}

	if (run.hedge) {
		run.hedge.adopt();
		return;
	}

	if (run.hasCallerLeft) {
		closeRun(context, run);
		recordRun(context, run, {
			result: 'caller-left',
			status: 0,
			reason: fault.reason,
		});
		return;
	}

	// Checks the retry budget last, so that only retries that are sent are charged to it.
	const shouldRetry =
		fault.isFinal !== true &&
		isRetryable(context, run, fault) &&
		hasAttemptLeft(run, context.clock()) &&
		hasRetryBudget(context, run, fault);
	if (shouldRetry) {
		const wasRefusedLeased =
			wasLocal &&
			fault.end === 'refused' &&
			context.needsSlotLease(run.exchange.service);
		if (wasRefusedLeased) {
			context.queueRefused(run);
		} else {
			context.sendOrQueue(run);
		}
	} else {
		failRun(context, run, fault.reason);
	}
};

/**
Raises the outcome of a request to that of a call if it is more severe.
*/
export const raiseOutcome = (run: DeliveryRun, outcome: Outcome): void => {
	if (severity[outcome] > severity[run.outcome]) {
		run.outcome = outcome;
	}
};

/**
Removes the latest try of a server that the request did not reach.
*/
export const forgetTry = (
	{triedServers}: DeliveryRun,
	server: string,
): void => {
	const index = triedServers.lastIndexOf(server);
	if (index !== -1) {
		triedServers.splice(index, 1);
	}
};

/**
Handles a call that failed before its response was complete, or that could not be made.
*/
export const handleCallFailure = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	failure: UpstreamFailure,
): void => {
	const {wasSent, reason, isUnsendable} = failure;
	reportCallFailure(context, run, current, failure);
	failCall(context, run, {
		outcome: wasSent ? 'unknown' : 'not-run',
		reason,
		reachedServer: wasSent,
		end: 'failed',
		isFinal: isUnsendable,
	});
};

/**
Reports what a failed call says about its backend server or node.
*/
export const reportCallFailure = (
	context: DeliveryContext,
	run: DeliveryRun,
	call: CurrentCall,
	failure: UpstreamFailure,
): void => {
	const {member, server} = call;
	const isUnreachable = isConnectFailure(failure);
	if (isUnreachable && member) {
		context.onPeerFailure(member);
	}

	if (isUnreachable && server !== undefined) {
		context.onServerFailure(server, failure);
	}

	if (failure.wasSent) {
		reportBrokenCall(context, run, call);
	}
};

/**
Reports a call to a backend server that ended before its response was complete. Calls to nodes are not reported.
*/
export const reportBrokenCall = (
	{onCallBroken}: DeliveryContext,
	{exchange}: DeliveryRun,
	{server, incarnationId, sentAt}: CurrentCall,
): void => {
	if (server !== undefined && incarnationId !== undefined) {
		onCallBroken(exchange, {server, incarnationId, sentAt});
	}
};

/**
Allows a request to be sent to the same node again, because only its backend server failed. This avoids opening a new
connection.
*/
export const allowNodeAgain = (
	run: DeliveryRun,
	{member}: CurrentCall,
): void => {
	if (member) {
		run.triedNodes.delete(member.id);
	}
};

/**
Handles a refusal of the request by another node.
*/
export const handleNodeRefusal = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	{
		outcome,
		reason,
		tried,
		availableInMs,
		isLeaving,
	}: Extract<HopResult, {kind: 'refused'}>,
): void => {
	// If the node tried no server, the region has no capacity, so its other nodes have none either. A leaving node says nothing
	// about its region.
	if (tried.length > 0) {
		allowNodeAgain(run, current);
	} else if (!isLeaving && current.region !== undefined) {
		run.fullRegions.add(current.region);
		if (availableInMs !== undefined) {
			const availableAt = context.clock() + availableInMs;
			run.remoteAvailableAt = Math.min(
				run.remoteAvailableAt ?? Infinity,
				availableAt,
			);
		}
	}

	failCall(context, run, {
		outcome,
		reason,
		reachedServer: tried.length > 0,
		end: 'abandoned',
	});
};

const isRetryable = (
	context: DeliveryContext,
	run: DeliveryRun,
	{outcome}: CallFault,
): boolean =>
	canRunAgain(context, run) || (!run.hasBegun && outcome === 'not-run');

/**
Whether a request that may have run may run a second time, from its start or from where its stream has got to.
*/
export const canRunAgain = (
	context: DeliveryContext,
	run: DeliveryRun,
): boolean =>
	run.isRepeatable &&
	(!run.hasBegun ||
		(run.exchange.route.isResumable &&
			!context.without.has('resumption') &&
			canContinue(context, run)));

// A node of an earlier release does not state which version began a stream that it relays.
const canContinue = ({origins}: DeliveryContext, run: DeliveryRun): boolean => {
	if (!run.hasPassedEvent || run.origin) {
		return true;
	}

	const continuation = origins.decideWithoutRecord(run.exchange);
	run.origin = boundOriginOf(continuation);
	return continuation.kind !== 'impossible';
};

const hasRetryBudget = (
	context: DeliveryContext,
	run: DeliveryRun,
	{reachedServer}: CallFault,
): boolean => !reachedServer || hasTakenRetry(context, run);

/**
Charges a repeated send of a request to the retry budget. Returns false if the budget is used up.
*/
export const hasTakenRetry = (
	{budget, clock, budgetNodes}: DeliveryContext,
	{exchange}: DeliveryRun,
): boolean => budget.tryTake(exchange.service, budgetNodes(), clock());
