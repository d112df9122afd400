import {createRetryYield} from '../../retries/index.ts';
import type {Continuation} from '../../stream-origins/index.ts';
import type {WaitingRequests} from '../../slot-leases/index.ts';
import type {ResponseSink, Exchange} from '../exchange.ts';
import {isPartFingerprint} from '../../quarantine/index.ts';
import {fingerprintOfExchange} from '../fingerprint-of-exchange.ts';
import {createAnswerBuffer} from './answer-buffer.ts';
import type {DeliveryContext, DeliveryOptions} from './delivery-context.ts';
import {createDeliveryRun, type DeliveryRun} from './delivery-run.ts';
import {
	abortRun,
	closeRun,
	endCurrentCall,
	recordRun,
	refuseQuarantined,
	refuseRun,
} from './end-run.ts';
import {createCapacityForecast} from './capacity-forecast.ts';
import {hedgeSilentRuns} from './hedge.ts';
import {queueRefused, sendOrQueue} from './send-run.ts';
import {judgeQueued, type QueueConditions} from './judge-queued.ts';
import {createEventNumbering} from './event-numbering.ts';
import {createRequestQueue} from './request-queue.ts';
import {boundOriginOf, findContinuation, isTakenUp} from './take-up.ts';

export type {DeliveryOptions} from './delivery-context.ts';

/**
A handle of a request in flight.
*/
export type Delivery = {
	/**
	Must be called when the caller has closed its connection.
	*/
	callerLeft(): void;
};

/**
Sends requests to backend servers and relays their responses.
*/
export type Deliveries = {
	deliver(exchange: Exchange, sink: ResponseSink): Delivery;
	/**
	Sends queued requests for which there is capacity, refuses those that have waited too long, and hedges those whose backend
	server is silent. Called on each tick.
	*/
	tick(now: number): void;
	/**
	Aborts a request that was put in quarantine, or removes it from the queue: it may not have started to run yet. Of a part of prompts, aborts
	the requests that have received no event.
	*/
	cancelQuarantined(fingerprint: string): void;
	/**
	Sends queued requests for which there is capacity.
	*/
	dispatchQueue(): void;
	/**
	Returns the number of requests of a service in the queue, and the priority of the most urgent.
	*/
	waiting(service: string): WaitingRequests;
	/**
	Returns the number of requests in flight.
	*/
	count(): number;
	/**
	Returns the number of requests in the queue.
	*/
	queuedCount(): number;
	/**
	Returns the bytes of the responses that are kept until they are whole.
	*/
	keptBytes(): number;
};

/**
Creates the deliveries of a node.
*/
export const createDeliveries = (options: DeliveryOptions): Deliveries => {
	const context: DeliveryContext = {
		...options,
		runs: new Set(),
		searches: new Set(),
		queue: createRequestQueue(),
		answerBuffer: createAnswerBuffer(),
		eventNumbering: createEventNumbering(options.onSparseEventIds),
		forecast: createCapacityForecast(),
		retryYield: createRetryYield(),
		sendOrQueue(run) {
			sendOrQueue(context, run);
		},
		queueRefused(run) {
			queueRefused(context, run);
		},
	};
	const {runs, searches, queue} = context;

	return {
		deliver(exchange, sink) {
			if (isTakenUp(exchange)) {
				return continueStream(context, exchange, sink);
			}

			const run = startRun(context, exchange, sink);
			return {
				callerLeft() {
					callerLeft(context, run);
				},
			};
		},
		tick(now) {
			queue.dispatch(now);
			const conditions = conditionsAt(context, now);
			queue.expire(now, (request, ahead) =>
				judgeQueued(request, ahead, conditions),
			);
			if (!context.without.has('hedging')) {
				hedgeSilentRuns(context, now);
			}
		},
		cancelQuarantined(fingerprint) {
			const isPart = isPartFingerprint(fingerprint);
			for (const run of runs) {
				const isFound = isPart
					? isQuarantinedBeforeFirstEvent(context, run)
					: fingerprintOfExchange(run.exchange) === fingerprint;
				if (isFound) {
					cancelRun(context, run);
				}
			}
		},
		dispatchQueue() {
			queue.dispatch(context.clock());
		},
		waiting: queue.waiting,
		count: () => runs.size + searches.size,
		queuedCount: () => queue.length(),
		keptBytes: context.answerBuffer.bytes,
	};
};

// Silent servers and leaving nodes are looked up once, because the queue may be long.
const conditionsAt = (
	{fleet, exitsAt, leavingNodes}: DeliveryContext,
	now: number,
): QueueConditions => {
	const awaiting = new Map<string, boolean>();
	let leaving: ReadonlySet<string> | undefined;
	return {
		now,
		exitsAt: exitsAt(),
		isNodeLeaving(node) {
			leaving ??= leavingNodes();
			return leaving.has(node);
		},
		isAwaitingSilentServers(service) {
			const known = awaiting.get(service);
			const isAwaiting = known ?? fleet.isAwaitingSilentServers(service, now);
			awaiting.set(service, isAwaiting);
			return isAwaiting;
		},
	};
};

const continueStream = (
	context: DeliveryContext,
	exchange: Exchange,
	sink: ResponseSink,
): Delivery => {
	let run: DeliveryRun | undefined;
	context.searches.add(exchange);
	const cancel = findContinuation(context, exchange, (continuation) => {
		context.searches.delete(exchange);
		const origin = boundOriginOf(continuation);
		const bound = origin ? {...exchange, service: origin.service} : exchange;
		run = startRun(context, bound, sink, continuation);
	});
	return {
		callerLeft() {
			if (run) {
				callerLeft(context, run);
				return;
			}

			context.searches.delete(exchange);
			cancel();
		},
	};
};

const anyServer: Continuation = {kind: 'any'};

const startRun = (
	context: DeliveryContext,
	exchange: Exchange,
	sink: ResponseSink,
	continuation: Continuation = anyServer,
): DeliveryRun => {
	const {budget, clock, runs, routesVersion} = context;
	const origin = boundOriginOf(continuation);
	const run = createDeliveryRun(exchange, sink, routesVersion(), origin);
	runs.add(run);
	if (continuation.kind === 'impossible') {
		refuseRun(context, run, 'not-resumable', continuation.reason);
		return run;
	}

	if (origin) {
		run.steps.push(`continues software ${origin.softwareVersion}`);
	}

	run.timer = setTimeout(
		() => {
			expireRun(context, run);
		},
		Math.max(1, exchange.expiresAt - clock()),
	);
	// The origin node has already counted a forwarded request.
	if (!exchange.hop) {
		budget.recordRequest(exchange.service, clock());
	}

	// An overloaded node may start to process a request only after its deadline.
	if (clock() < exchange.expiresAt) {
		sendOrQueue(context, run);
	} else {
		expireRun(context, run);
	}

	return run;
};

const expireRun = (context: DeliveryContext, run: DeliveryRun): void => {
	if (run.isOver) {
		return;
	}

	if (run.current !== undefined && run.outcome === 'not-run') {
		run.outcome = 'unknown';
	}

	run.steps.push('expired');
	run.endedBy = 'deadline';
	endCurrentCall(context, run, 'abandoned', true);
	if (run.hasBegun) {
		abortRun(context, run, 'The time of the request is over');
	} else if (run.outcome === 'not-run') {
		const reason = 'No backend server had room in time';
		refuseRun(context, run, 'overloaded', reason);
	} else {
		const reason = 'No answer within the time';
		refuseRun(context, run, 'deadline-exceeded', reason);
	}
};

const isQuarantinedBeforeFirstEvent = (
	{quarantineStatus}: DeliveryContext,
	{chunks, exchange}: DeliveryRun,
): boolean => chunks === 0 && quarantineStatus(exchange).kind === 'quarantined';

const cancelRun = (context: DeliveryContext, run: DeliveryRun): void => {
	if (run.current !== undefined && run.outcome === 'not-run') {
		run.outcome = 'unknown';
	}

	run.steps.push('found out');
	endCurrentCall(context, run, 'abandoned', true);
	refuseQuarantined(context, run);
};

const callerLeft = (context: DeliveryContext, run: DeliveryRun): void => {
	if (run.isOver || run.hasCallerLeft) {
		return;
	}

	// A request that must not be repeated runs to completion: aborting it saves little and wastes the work done.
	const shouldComplete =
		run.current !== undefined && run.exchange.route.kind === 'non-idempotent';
	if (shouldComplete) {
		run.hasCallerLeft = true;
		return;
	}

	endCurrentCall(context, run, 'abandoned', true);
	closeRun(context, run);
	recordRun(context, run, {
		result: 'caller-left',
		status: 0,
		reason: 'The caller closed its connection',
	});
};
