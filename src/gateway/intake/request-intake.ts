import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
	answerTable,
	createGatewayError,
	type GatewayError,
} from '../../errors/index.ts';
import type {SharedVerdict} from '../../limits/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Deliveries} from '../delivery/index.ts';
import type {ResponseSink, Exchange} from '../exchange.ts';
import type {GatewayObserver} from '../gateway-observer.ts';
import {
	onCallerLeft,
	readBody,
	toReceivedRequest,
	type ReceivedRequest,
} from './caller-listener.ts';
import {createHopSink} from './hop-sink.ts';
import type {RequestDeferral} from './request-deferral.ts';
import type {LeavingAdmission} from './leaving-admission.ts';
import {
	readExchange,
	readForwarded,
	type ReadContext,
} from './read-exchange.ts';

/**
Takes requests in and hands them to delivery.
*/
export type RequestIntake = {
	/**
	Takes a caller's request; returns what to call when the caller closes its connection.
	*/
	handle(request: ReceivedRequest, sink: ResponseSink): () => void;
	/**
	Takes a request that another node forwards.
	*/
	handleForwarded(request: IncomingMessage, response: ServerResponse): void;
	/**
	Goes on with what came before the first routes; to be called once there are routes.
	*/
	onRoutesAvailable(): void;
};

/**
What an intake is built from.
*/
export type RequestIntakeOptions = {
	readonly deliveries: Deliveries;
	readonly observer: GatewayObserver;
	/**
	Asked for each request of a caller.
	*/
	readonly admission: LeavingAdmission;
	readonly requestDeferral: RequestDeferral;
	/**
	Asked for each request of a caller that has an account.
	*/
	readonly admit: (exchange: Exchange) => SharedVerdict;
	readonly without: DisabledMechanisms;
	readonly readContext: () => ReadContext;
};

/**
How long a request waits for the first routes of a node that has just started, in milliseconds. The
registry is read in less; a caller that is refused has one try less.
*/
export const firstRoutesTimeoutMs = 500;

/**
Requests that wait for the first routes at the most; more are refused at once.
*/
export const maximumEarlyRequests = 500;

/**
Builds the intake of one node.
*/
export const createRequestIntake = ({
	deliveries,
	observer,
	admission,
	requestDeferral,
	admit,
	without,
	readContext,
}: RequestIntakeOptions): RequestIntake => {
	// A request that another node forwards is cut with this node's end as well, but its origin knows of
	// no better place for it: nodes send nothing to one that they know to be leaving.
	const admitted = (
		read: Result<Exchange, GatewayError>,
	): Result<Exchange, GatewayError> =>
		read.isErr ||
		read.value.hop !== undefined ||
		without.has('leaving-admission') ||
		admission.admits(read.value)
			? read
			: Result.err(
					createGatewayError(
						'leaving',
						'This node ends before the request would; send it to another node now',
					),
				);

	// The node of the caller has counted a forwarded request already.
	const limited = (
		read: Result<Exchange, GatewayError>,
	): Result<Exchange, GatewayError> => {
		if (read.isErr || !read.value.client || read.value.hop) {
			return read;
		}

		const verdict = admit(read.value);
		switch (verdict.kind) {
			case 'admitted': {
				return read;
			}

			case 'limited': {
				return Result.err(
					createGatewayError(
						'limit-exceeded',
						`Account ${read.value.client.name} is beyond its limit`,
						{retryAfterSeconds: verdict.retryAfterSeconds},
					),
				);
			}
		}
	};

	const takeBy = (
		read: typeof readExchange,
		request: ReceivedRequest,
		sink: ResponseSink,
		arrivedAt: number,
	): (() => void) => {
		// Its time runs from its arrival, however long it waited for the first routes.
		const context = {...readContext(), now: arrivedAt};
		const exchange = limited(admitted(read(request, context)));
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

	const early = new Set<() => void>();

	// Runs once routes are known, or when the patience for them is over.
	const afterRoutes = (run: () => void): (() => void) => {
		const isReady =
			readContext().routes !== undefined || without.has('early-requests');
		if (isReady || early.size >= maximumEarlyRequests) {
			run();
			return () => undefined;
		}

		const go = () => {
			forget();
			run();
		};

		const forget = () => {
			clearTimeout(timer);
			early.delete(go);
		};

		const timer = setTimeout(go, firstRoutesTimeoutMs);
		early.add(go);
		return forget;
	};

	const takeReady = (
		read: typeof readExchange,
		request: ReceivedRequest,
		sink: ResponseSink,
	): (() => void) => {
		const arrivedAt = readContext().now;
		let cancel: () => void = () => undefined;
		const skip = requestDeferral.schedule(() => {
			let callerLeft: () => void = () => undefined;
			const forget = afterRoutes(() => {
				callerLeft = takeBy(read, request, sink, arrivedAt);
			});
			cancel = () => {
				forget();
				callerLeft();
			};
		}, request.isFirst);
		return () => {
			skip();
			cancel();
		};
	};

	return {
		handle: (request, sink) => takeReady(readExchange, request, sink),
		onRoutesAvailable() {
			for (const go of early) {
				go();
			}
		},
		handleForwarded(request, response) {
			// The node of the caller has checked the length by its bounds.
			readBody(request, Number.MAX_SAFE_INTEGER, (body) => {
				if (body === 'too-large') {
					return;
				}

				const sink = createHopSink(response);
				const read = toReceivedRequest(request, body);
				onCallerLeft(response, takeReady(readForwarded, read, sink));
			});
		},
	};
};
