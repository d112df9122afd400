import {createRetryYield} from '../../retries/index.ts';
import type {ResponseSink, Exchange} from '../exchange.ts';
import {fingerprintOfExchange} from '../fingerprint-of-exchange.ts';
import type {DeliveryContext, DeliveryOptions} from './delivery-context.ts';
import {
	createDeliveryRun,
	hasAttemptLeft,
	type DeliveryRun,
} from './delivery-run.ts';
import {
	breakOffRun,
	closeRun,
	endCurrentCall,
	recordRun,
	refuseQuarantined,
	refuseRun,
} from './end-run.ts';
import {failCall, reportBrokenCall} from './fail-call.ts';
import {createCapacityForecast} from './capacity-forecast.ts';
import {sendOrWait} from './send-run.ts';
import {createRequestQueue} from './request-queue.ts';

export type {DeliveryOptions} from './delivery-context.ts';

/**
A request on its way.
*/
export type Delivery = {
	/**
	The caller has closed its connection.
	*/
	callerLeft(): void;
};

/**
Sends requests to backend servers and their answers back.
*/
export type Deliveries = {
	deliver(exchange: Exchange, sink: ResponseSink): Delivery;
	/**
	Goes on with what waits, and gives up what waited too long; called at each tick.
	*/
	tick(now: number): void;
	/**
	Takes requests away from a backend server that has gone silent.
	*/
	serverStoppedResponding(server: string): void;
	/**
	Takes a request that was put in quarantine away from where it is or waits: it may not have begun yet.
	*/
	cancelQuarantined(fingerprint: string): void;
	/**
	Requests under way.
	*/
	count(): number;
	/**
	Requests that wait for room.
	*/
	queuedCount(): number;
};

/**
Builds what delivers requests.
*/
export const createDeliveries = (options: DeliveryOptions): Deliveries => {
	const context: DeliveryContext = {
		...options,
		runs: new Set(),
		queue: createRequestQueue(),
		forecast: createCapacityForecast(),
		retryYield: createRetryYield(),
		sendOrWait(run) {
			sendOrWait(context, run);
		},
	};
	const {runs, queue} = context;

	return {
		deliver(exchange, sink) {
			const run = startRun(context, exchange, sink);
			return {
				callerLeft() {
					callerLeft(context, run);
				},
			};
		},
		tick(now) {
			queue.dispatch(now);
			queue.expire(now, ({capacityWaitMs, expiresAt}, before) =>
				isHopeless(capacityWaitMs(before), expiresAt - now),
			);
		},
		serverStoppedResponding(server) {
			for (const run of runs) {
				if (run.current?.server === server) {
					leaveSilentServer(context, run);
				}
			}
		},
		cancelQuarantined(fingerprint) {
			for (const run of runs) {
				if (fingerprintOfExchange(run.exchange) === fingerprint) {
					takeAway(context, run);
				}
			}
		},
		count: () => runs.size,
		queuedCount: () => queue.length(),
	};
};

// Predictions waver; who was let into the line is sent away only where it would take twice what is left.
const isHopeless = (waitMs: number, leftMs: number): boolean =>
	waitMs > leftMs * 2;

const startRun = (
	context: DeliveryContext,
	exchange: Exchange,
	sink: ResponseSink,
): DeliveryRun => {
	const {budget, clock, runs} = context;
	const run = createDeliveryRun(exchange, sink);
	runs.add(run);
	run.timer = setTimeout(
		() => {
			expireRun(context, run);
		},
		Math.max(1, exchange.expiresAt - clock()),
	);
	// The node of the caller has counted a forwarded request already.
	if (!exchange.hop) {
		budget.recordRequest(exchange.service, clock());
	}

	// A late node may come to a request only when its caller's time is over.
	if (clock() < exchange.expiresAt) {
		sendOrWait(context, run);
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
	endCurrentCall(context, run, 'abandoned', true);
	if (run.hasBegun) {
		breakOffRun(context, run, 'The time of the request is over');
	} else if (run.outcome === 'not-run') {
		const reason = 'No backend server had room in time';
		refuseRun(context, run, 'overloaded', reason);
	} else {
		const reason = 'No answer within the time';
		refuseRun(context, run, 'deadline-exceeded', reason);
	}
};

const takeAway = (context: DeliveryContext, run: DeliveryRun): void => {
	if (run.current !== undefined && run.outcome === 'not-run') {
		run.outcome = 'unknown';
	}

	run.steps.push('found out');
	endCurrentCall(context, run, 'abandoned', true);
	refuseQuarantined(context, run);
};

const leaveSilentServer = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	if (run.current) {
		reportBrokenCall(context, run, run.current);
	}

	if (run.isRepeatable && hasAttemptLeft(run, context.clock())) {
		failCall(context, run, {
			outcome: 'unknown',
			reason: 'The backend server fell silent',
			reachedServer: true,
			end: 'failed',
		});
	}
};

const callerLeft = (context: DeliveryContext, run: DeliveryRun): void => {
	if (run.isOver || run.hasCallerLeft) {
		return;
	}

	// What must not be repeated is left to end: cutting it off saves little and wastes its work.
	const isLeftToEnd =
		run.current !== undefined && run.exchange.route.kind === 'non-idempotent';
	if (isLeftToEnd) {
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
