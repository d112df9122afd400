import type {ParsedConfiguration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {ClientLimits} from '../limits/index.ts';
import type {Metrics, Recorder} from '../reporting/index.ts';
import {refuse, type Answer} from './answer.ts';
import {chain, type Filter} from './filter-chain.ts';
import {
	createRecordingFilter,
	createLimitFilter,
	createPolicyFilter,
	createPermitFilter,
	createParseFilter,
	identifyFilter,
	onAnswerEnd,
	type ReadyRequest,
} from './filters/index.ts';
import type {GatewayRequest} from './gateway-request.ts';
import {
	headerOf,
	requestHeaders,
	type IncomingRequest,
} from './incoming-request.ts';
import type {InFlight} from './in-flight.ts';
import type {ReplayableAnswer} from './replayable-answer.ts';
import type {PermitIssuer, Permits} from './permits.ts';
import type {RequestExecutor} from './request-executor.ts';

/**
Options of `createRequestChain`.
*/
export type RequestChainOptions = {
	readonly clock: () => number;
	readonly wallClock: () => number;
	readonly configuration: () => ParsedConfiguration | undefined;
	readonly localRegion: () => string;
	/**
	Error while no request may be sent, otherwise undefined; waits for a short recovery after a pause of the process.
	*/
	readonly readiness: () => Promise<GatewayError | undefined>;
	readonly limits: ClientLimits;
	readonly permits: Permits<ReplayableAnswer>;
	readonly executor: RequestExecutor;
	readonly askIssuer: (
		request: GatewayRequest,
		holder: PermitIssuer,
	) => Promise<Answer>;
	readonly recorder: Recorder;
	readonly metrics: Metrics;
	readonly inFlight: InFlight;
};

/**
Processes requests through the filters of this node.
*/
export type RequestChain = {
	/**
	Answers a caller's request.
	*/
	answer(incoming: IncomingRequest): Promise<Answer>;
	/**
	Answers a request that another node forwarded here, because this node issued its permit.
	*/
	redeem(request: GatewayRequest): Promise<Answer>;
};

/**
Creates the chain. A request passes the filters in the order in which they appear here.
*/
export const createRequestChain = (
	options: RequestChainOptions,
): RequestChain => {
	const {clock, inFlight} = options;

	const track = (isBeginning: boolean) => {
		if (isBeginning) {
			inFlight.begin();
		} else {
			inFlight.end();
		}
	};

	const awaitReadiness: Filter<IncomingRequest, ReadyRequest> = async (
		incoming,
		next,
	) => {
		const obstacle = await options.readiness();
		if (obstacle) {
			return refuse(obstacle);
		}

		const parsed = options.configuration();
		return parsed
			? next({incoming, parsed})
			: refuse(
					createGatewayError(
						'not-ready',
						'This node has not received a configuration yet',
					),
				);
	};

	const countInFlight: Filter<IncomingRequest, IncomingRequest> = async (
		incoming,
		next,
	) => {
		inFlight.begin();
		try {
			return onAnswerEnd(await next(incoming), inFlight.end, clock);
		} catch (error) {
			inFlight.end();
			throw error;
		}
	};

	const parse = createParseFilter({
		clock,
		localRegion: options.localRegion,
		issueId: () => options.permits.issue(clock()),
	});
	const limit = createLimitFilter(options.limits, clock);
	const policy = createPolicyFilter(options.wallClock);
	const record = createRecordingFilter({
		clock,
		wallClock: options.wallClock,
		configuration: () => options.configuration()?.configuration,
		recorder: options.recorder,
		metrics: options.metrics,
	});
	const permit = createPermitFilter({
		permits: options.permits,
		clock,
		track,
		askIssuer: options.askIssuer,
	});
	const permitOfPeer = createPermitFilter({
		permits: options.permits,
		clock,
		track,
	});

	const interpret = chain(
		chain(awaitReadiness, identifyFilter),
		chain(parse, policy),
	);

	// A request that is rejected before the permit check may repeat an id whose request has run, so
	// its outcome is then `unknown` instead of `not-run`.
	const interpretSafely: Filter<IncomingRequest, GatewayRequest> = async (
		incoming,
		next,
	) => {
		let isInterpreted = false;
		const answer = await interpret(incoming, async (request) => {
			isInterpreted = true;
			return next(request);
		});
		const requestId = headerOf(incoming, requestHeaders.requestId);
		const isPossibleRepeat =
			!isInterpreted &&
			requestId !== undefined &&
			options.permits.mayHaveRun(requestId);
		return isPossibleRepeat && answer.kind === 'refused'
			? refuse({...answer.error, outcome: 'unknown'})
			: answer;
	};

	const enter = chain(countInFlight, interpretSafely);
	const admit = chain(record, chain(permit, limit));
	const admitFromPeer = chain(record, chain(permitOfPeer, limit));

	return {
		answer: async (incoming) =>
			chain(enter, admit)(incoming, async (request) =>
				options.executor.execute(request, false),
			),
		redeem: async (request) =>
			admitFromPeer(request, async (permitted) =>
				options.executor.execute(permitted, true),
			),
	};
};
