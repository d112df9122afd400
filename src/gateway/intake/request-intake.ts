import {performance} from 'node:perf_hooks';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
	answerTable,
	createGatewayError,
	type GatewayError,
} from '../../errors/index.ts';
import type {SharedVerdict} from '../../limits/index.ts';
import type {MemoryBudget} from '../../memory-budget/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Deliveries} from '../delivery/index.ts';
import type {ResponseSink, Exchange} from '../exchange.ts';
import type {GatewayObserver} from '../gateway-observer.ts';
import {
	createNoMemoryError,
	onCallerLeft,
	toReceivedRequest,
	type ReceivedRequest,
} from './caller-listener.ts';
import {createHopSink} from './hop-sink.ts';
import type {OpenResponses} from './open-responses.ts';
import {readRequestBody} from './read-request-body.ts';
import type {RequestDeferral} from './request-deferral.ts';
import type {LeavingAdmission} from './leaving-admission.ts';
import type {NodeOverload} from './node-overload.ts';
import {
	readExchange,
	readForwarded,
	type ReadContext,
} from './read-exchange.ts';

/**
Receives requests and hands them to delivery.
*/
export type RequestIntake = {
	/**
	Handles a caller's request. The returned function is called when the caller closes its connection.
	*/
	handle(request: ReceivedRequest, sink: ResponseSink): () => void;
	/**
	Handles a request that another node forwards.
	*/
	handleForwarded(request: IncomingMessage, response: ServerResponse): void;
	/**
	Resumes the requests that arrived before the first routes; called once there are routes.
	*/
	onRoutesAvailable(): void;
};

/**
Options of `createRequestIntake`.
*/
export type RequestIntakeOptions = {
	readonly deliveries: Deliveries;
	readonly observer: GatewayObserver;
	/**
	Checked for each request of a caller.
	*/
	readonly admission: LeavingAdmission;
	readonly requestDeferral: RequestDeferral;
	/**
	Sheds requests while this node is overloaded; undefined if it never does.
	*/
	readonly overload: NodeOverload | undefined;
	/**
	Returns how long a request that is read now has waited in its socket, in milliseconds.
	*/
	readonly socketWaitMs: () => number;
	/**
	Checks the limit of the account; called for each request of a caller that has one.
	*/
	readonly admit: (exchange: Exchange) => SharedVerdict;
	readonly without: DisabledMechanisms;
	/**
	Counts the responses to forwarded requests.
	*/
	readonly openResponses: Pick<OpenResponses, 'add'>;
	/**
	The memory that the bodies of forwarded requests may take.
	*/
	readonly memory: Pick<MemoryBudget, 'reserve'>;
	readonly readContext: () => ReadContext;
};

/**
How long a request waits for the first routes of a node that has just started, in milliseconds. Reading
the registry takes less time, and a refusal costs the caller one of its attempts.
*/
export const firstRoutesTimeoutMs = 500;

/**
Maximum number of requests that wait for the first routes; further ones are refused at once.
*/
export const maximumEarlyRequests = 500;

/**
Creates the intake of one node.
*/
export const createRequestIntake = ({
	deliveries,
	observer,
	admission,
	requestDeferral,
	overload,
	socketWaitMs,
	admit,
	without,
	openResponses,
	memory,
	readContext,
}: RequestIntakeOptions): RequestIntake => {
	// A forwarded request is also cut off when this node exits, but its origin knows of no better node:
	// nodes forward nothing to a node that they know to be leaving.
	const checkAdmission = (
		result: Result<Exchange, GatewayError>,
	): Result<Exchange, GatewayError> =>
		result.isErr ||
		result.value.hop !== undefined ||
		without.has('leaving-admission') ||
		admission.admits(result.value)
			? result
			: Result.err(
					createGatewayError(
						'leaving',
						'This node ends before the request would; send it to another node now',
					),
				);

	// Nothing of the request has been processed but its head, so the refusal costs little.
	const checkOverload = (
		result: Result<Exchange, GatewayError>,
	): Result<Exchange, GatewayError> => {
		if (!overload || result.isErr) {
			return result;
		}

		const levels = readContext().routes?.priorities ?? [];
		return overload.admits(levels, result.value.route.priority)
			? result
			: Result.err(
					createGatewayError(
						'overloaded',
						'This node is overloaded; send the request again later, or to another node',
						{retryAfterSeconds: overload.retryAfterSeconds()},
					),
				);
	};

	// The node that received a forwarded request from the caller has already counted it.
	const checkLimit = (
		result: Result<Exchange, GatewayError>,
	): Result<Exchange, GatewayError> => {
		if (result.isErr || !result.value.client || result.value.hop) {
			return result;
		}

		const verdict = admit(result.value);
		switch (verdict.kind) {
			case 'admitted': {
				return result;
			}

			case 'limited': {
				return Result.err(
					createGatewayError(
						'limit-exceeded',
						`Account ${result.value.client.name} is beyond its limit`,
						{retryAfterSeconds: verdict.retryAfterSeconds},
					),
				);
			}
		}
	};

	const handleNow = (
		read: typeof readExchange,
		request: ReceivedRequest,
		sink: ResponseSink,
		arrivedAt: number,
	): (() => void) => {
		// The time limit counts from the arrival of the request and includes the wait for the first routes.
		const context = {...readContext(), now: arrivedAt};
		const exchange = checkLimit(
			checkOverload(checkAdmission(read(request, context))),
		);
		if (exchange.isErr) {
			const {kind, message} = exchange.error;
			sink.refuse(exchange.error, []);
			observer.rejected(
				request.header(context.names.requestId) ?? '',
				message,
				answerTable[kind].status,
			);
			return () => undefined;
		}

		return deliveries.deliver(exchange.value, sink).callerLeft;
	};

	const waiting = new Set<() => void>();

	// Calls `run` once routes are known, or after `firstRoutesTimeoutMs`.
	const afterRoutes = (run: () => void): (() => void) => {
		const isReady =
			readContext().routes !== undefined || without.has('early-requests');
		if (isReady || waiting.size >= maximumEarlyRequests) {
			run();
			return () => undefined;
		}

		const resume = () => {
			cancel();
			run();
		};

		const cancel = () => {
			clearTimeout(timer);
			waiting.delete(resume);
		};

		const timer = setTimeout(resume, firstRoutesTimeoutMs);
		waiting.add(resume);
		return cancel;
	};

	const handleDeferred = (
		read: typeof readExchange,
		request: ReceivedRequest,
		sink: ResponseSink,
	): (() => void) => {
		// On a slow link, a body arrives long after its head. The caller counts its time from before both.
		const arrivedAt = readContext().now - request.bodyMs - socketWaitMs();
		let cancel: () => void = () => undefined;
		const cancelDeferral = requestDeferral.schedule(() => {
			let callerLeft: () => void = () => undefined;
			const cancelWait = afterRoutes(() => {
				callerLeft = handleNow(read, request, sink, arrivedAt);
			});
			cancel = () => {
				cancelWait();
				callerLeft();
			};
		}, request.isFirst);
		return () => {
			cancelDeferral();
			cancel();
		};
	};

	return {
		handle: (request, sink) => handleDeferred(readExchange, request, sink),
		onRoutesAvailable() {
			for (const resume of waiting) {
				resume();
			}
		},
		handleForwarded(request, response) {
			const headAt = performance.now();
			// The node that received the request from the caller has checked its length.
			const limits = {maximumBytes: Number.MAX_SAFE_INTEGER, memory};
			readRequestBody(request, response, limits, (body) => {
				openResponses.add(response);
				const sink = createHopSink(response);
				switch (body.kind) {
					case 'too-large': {
						return;
					}

					case 'no-room': {
						const {retryAfterMs} = body;
						sink.refuse(createNoMemoryError(retryAfterMs), [], retryAfterMs);
						return;
					}

					case 'whole': {
						const received = toReceivedRequest(
							request,
							body.bytes,
							performance.now() - headAt,
						);
						onCallerLeft(
							response,
							handleDeferred(readForwarded, received, sink),
						);
					}
				}
			});
		},
	};
};
