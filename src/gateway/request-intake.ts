import type {IncomingMessage, ServerResponse} from 'node:http';
import {answerTable} from '../errors/index.ts';
import type {Deliveries} from './delivery.ts';
import type {AnswerSink} from './exchange.ts';
import {
	onCallerLeft,
	readBody,
	toRead,
	type ReadRequest,
} from './front-listener.ts';
import type {GatewayObserver} from './gateway-observer.ts';
import {createHopSink} from './hop-sink.ts';
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
	take(request: ReadRequest, sink: AnswerSink): () => void;
	/**
	Takes a request that another node forwards.
	*/
	takeForwarded(request: IncomingMessage, response: ServerResponse): void;
};

/**
What an intake is built from.
*/
export type RequestIntakeOptions = {
	readonly deliveries: Deliveries;
	readonly observer: GatewayObserver;
	readonly readContext: () => ReadContext;
};

/**
Builds the intake of one node.
*/
export const createRequestIntake = ({
	deliveries,
	observer,
	readContext,
}: RequestIntakeOptions): RequestIntake => {
	const takeBy = (
		read: typeof readExchange,
		request: ReadRequest,
		sink: AnswerSink,
	): (() => void) => {
		const context = readContext();
		const exchange = read(request, context);
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

	return {
		take: (request, sink) => takeBy(readExchange, request, sink),
		takeForwarded(request, response) {
			// The node of the caller has checked the length by its bounds.
			readBody(request, Number.MAX_SAFE_INTEGER, (body) => {
				if (body === 'too-large') {
					return;
				}

				const sink = createHopSink(response);
				const read = toRead(request, body);
				onCallerLeft(response, takeBy(readForwarded, read, sink));
			});
		},
	};
};
