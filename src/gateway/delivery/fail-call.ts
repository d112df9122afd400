import type {UpstreamFailure} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	hasAttemptLeft,
	type CallFault,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {closeRun, endCurrentCall, failRun, recordRun} from './end-run.ts';
import type {HopResult} from './hop.ts';

const gravity: Readonly<Record<Outcome, number>> = {
	'not-run': 0,
	unknown: 1,
	ran: 2,
};

/**
Ends the current call with a fault, and sends the request elsewhere if it may be.
*/
export const failCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	fault: CallFault,
): void => {
	run.steps.push(`${fault.outcome}: ${fault.reason}`);
	const wasLocal = run.current?.server !== undefined;
	endCurrentCall(context, run, fault.end, true);
	if (gravity[fault.outcome] > gravity[run.outcome]) {
		run.outcome = fault.outcome;
	}

	if (wasLocal && !fault.reachedServer) {
		run.triedServers.pop();
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

	// A retry is taken from the budget last, for only one that will be sent may use it up.
	const isSentAgain =
		isRetryable(context, run, fault) &&
		hasAttemptLeft(run, context.clock()) &&
		isRetryPaid(context, run, fault);
	if (isSentAgain) {
		context.sendOrWait(run);
	} else {
		failRun(context, run, fault.reason);
	}
};

/**
Takes in that a call broke off or was never made.
*/
export const handleCallFailure = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	failure: UpstreamFailure,
): void => {
	const {member, server} = current;
	const {wasSent, isWithdrawn, reason} = failure;
	if (!wasSent && member) {
		context.onPeerFailure(member);
	}

	if (!wasSent && !isWithdrawn && server !== undefined) {
		context.onServerFailure(server, failure);
	}

	if (wasSent) {
		reportBrokenCall(context, run, current);
	}

	failCall(context, run, {
		outcome: wasSent ? 'unknown' : 'not-run',
		reason,
		reachedServer: wasSent,
		end: 'failed',
	});
};

/**
Says that a call ended without a whole answer, if it went to a backend server.
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
Takes in that a node is well and its backend server is not: the node may be asked again, which spares
a new connection.
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
Takes in that another node refused the request.
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
	}: Extract<HopResult, {kind: 'refused'}>,
): void => {
	// Without a server that was tried, the region had no room; another node of it has none either.
	if (tried.length > 0) {
		allowNodeAgain(run, current);
	} else if (current.region !== undefined) {
		run.fullRegions.add(current.region);
		if (availableInMs !== undefined) {
			const roomAt = context.clock() + availableInMs;
			run.remoteAvailableAt = Math.min(
				run.remoteAvailableAt ?? Infinity,
				roomAt,
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
	{without}: DeliveryContext,
	run: DeliveryRun,
	{outcome}: CallFault,
): boolean =>
	run.hasBegun
		? run.isRepeatable &&
			run.exchange.route.isResumable &&
			!without.has('resumption')
		: run.isRepeatable || outcome === 'not-run';

const isRetryPaid = (
	{budget, clock, budgetNodes}: DeliveryContext,
	{exchange}: DeliveryRun,
	{reachedServer}: CallFault,
): boolean =>
	!reachedServer || budget.tryTake(exchange.service, budgetNodes(), clock());
