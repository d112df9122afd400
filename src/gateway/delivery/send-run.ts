import type {StreamOrigin} from '../../stream-origins/index.ts';
import type {UpstreamChoice} from '../choosing/choose-upstream.ts';
import {callTarget} from './call-target.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {setCurrentCall, type DeliveryRun} from './delivery-run.ts';
import {failRun, leaveQueue, refuseQuarantined, refuseRun} from './end-run.ts';
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
