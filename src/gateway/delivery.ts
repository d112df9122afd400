import {Buffer} from 'node:buffer';
import type {
	BackendAttempt,
	BackendAttemptEnd,
	BackendFleet,
	OpenCall,
	Placement,
	UpstreamClient,
	UpstreamHead,
	UpstreamListener,
} from '../backends/index.ts';
import {
	createGatewayError,
	type ErrorKind,
	type Outcome,
} from '../errors/index.ts';
import type {Member} from '../membership/index.ts';
import {createRetryYield, type WindowRetryBudget} from '../retries/index.ts';
import {isRepeatable, placementPart, type Route} from '../routes/index.ts';
import {judgeHead} from './judge-head.ts';
import type {UpstreamChooser} from './choose-upstream.ts';
import {createEventRelay, type EventRelay} from './event-relay.ts';
import type {AnswerSink, DeliveryRecord, Exchange} from './exchange.ts';
import {
	decodeHopResult,
	encodeHopCall,
	hopHeaderNames,
	type HopResult,
} from './hop.ts';
import {
	forwardableHeaders,
	lastEventIdHeader,
	type WireHeaders,
} from './wire-headers.ts';
import {
	createWaitingRequests,
	type WaitingRequest,
} from './waiting-requests.ts';

/**
What deliveries are made with.
*/
export type DeliveryOptions = {
	readonly self: string;
	readonly clock: () => number;
	readonly headers: WireHeaders;
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	readonly choose: UpstreamChooser;
	readonly budget: WindowRetryBudget;
	/**
	Nodes that share the retry budget, this one included.
	*/
	readonly nodes: () => number;
	/**
	Connections that this node may hold to one backend server of a service.
	*/
	readonly connectionsTo: (service: string) => number;
	readonly routesVersion: () => number;
	/**
	Whether the own region may serve a route.
	*/
	readonly isServedHere: (route: Route) => boolean;
	/**
	Says that a node could not be reached.
	*/
	readonly onPeerFailure: (member: Member) => void;
	readonly onServerFailure: (server: string, reason: string) => void;
	readonly onRecord: (record: DeliveryRecord) => void;
};

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
	deliver(exchange: Exchange, sink: AnswerSink): Delivery;
	/**
	Goes on with what waits, and gives up what waited too long; called at each tick.
	*/
	tick(now: number): void;
	/**
	Takes requests away from a backend server that has gone silent.
	*/
	serverSilent(server: string): void;
	/**
	Requests under way.
	*/
	count(): number;
	waiting(): number;
};

/**
The part of the target latency that a request may wait for room; with the way to the caller it is
refused within a quarter of it.
*/
export const waitingPart = 0.2;

/**
Seconds after which a refused caller should come back at the least. A place in an engine becomes
free many times in this time.
*/
export const shortestRetryAfterSeconds = 0.3;

/**
The longest plain answer that is kept until it is whole, in bytes.
*/
export const maximumAnswerBytes = 16_777_216;

/**
Connections to one node of another region; a request holds one as long as its stream runs.
*/
export const connectionsToPeer = 256;

type Current = {
	readonly open: () => OpenCall;
	readonly attempt: BackendAttempt | undefined;
	readonly server: string | undefined;
	readonly member: Member | undefined;
	/**
	Region of the node that it was sent to.
	*/
	readonly region: string | undefined;
};

type Run = {
	readonly exchange: Exchange;
	readonly sink: AnswerSink;
	readonly placement: Placement;
	/**
	Backend servers that are not to get it again, those that other nodes named included.
	*/
	readonly excluded: Set<string>;
	/**
	Backend servers that may have received it from here or by way of another node, in order.
	*/
	readonly tried: string[];
	readonly regions: Set<string>;
	readonly members: Set<string>;
	readonly steps: string[];
	readonly isRepeatable: boolean;
	timer: NodeJS.Timeout | undefined;
	waiting: WaitingRequest | undefined;
	waitedMs: number;
	current: Current | undefined;
	outcome: Outcome;
	relay: EventRelay | undefined;
	/**
	Whether a backend server answered with a fault and the request was sent on.
	*/
	hasFaultAnswer: boolean;
	hasBegun: boolean;
	firstByteAt: number | undefined;
	isOver: boolean;
	isDeserted: boolean;
};

type Fault = {
	readonly outcome: Outcome;
	readonly reason: string;
	/**
	Whether a backend server may have received the request.
	*/
	readonly reachedServer: boolean;
	readonly end: BackendAttemptEnd;
};

const gravity: Readonly<Record<Outcome, number>> = {
	'not-run': 0,
	unknown: 1,
	ran: 2,
};

/**
Builds what delivers requests.
*/
export const createDeliveries = (options: DeliveryOptions): Deliveries => {
	const {clock, fleet, headers: names} = options;
	const runs = new Set<Run>();
	const line = createWaitingRequests();
	const retryYield = createRetryYield();
	const reserved = new Set([
		...names.reserved,
		...hopHeaderNames,
		names.remainingMs,
		names.expectedServer,
	]);

	const record = (
		run: Run,
		result: DeliveryRecord['result'],
		status: number,
		reason: string,
	) => {
		const {exchange} = run;
		options.onRecord({
			exchange,
			result,
			status,
			reason,
			outcome: run.outcome,
			steps: run.steps,
			firstByteMs:
				run.firstByteAt === undefined
					? undefined
					: run.firstByteAt - exchange.receivedAt,
			totalMs: clock() - exchange.receivedAt,
			waitedMs: run.waitedMs,
		});
	};

	const close = (run: Run) => {
		run.isOver = true;
		clearTimeout(run.timer);
		leaveLine(run);
		runs.delete(run);
	};

	const leaveLine = (run: Run) => {
		if (!run.waiting) {
			return;
		}

		line.leave(run.waiting);
		run.waitedMs += clock() - run.waiting.since;
		run.waiting = undefined;
	};

	const endCurrent = (
		run: Run,
		how: BackendAttemptEnd,
		shouldAbort: boolean,
	) => {
		const {current} = run;
		run.current = undefined;
		if (!current) {
			return;
		}

		current.attempt?.end(how, clock());
		if (shouldAbort) {
			current.open().abort();
		}

		line.pump();
	};

	const refuse = (run: Run, kind: ErrorKind, reason: string) => {
		if (run.isOver) {
			return;
		}

		close(run);
		const error = createGatewayError(kind, reason, {
			outcome: run.outcome,
			retryAfterSeconds: run.outcome === 'not-run' ? retryAfter() : undefined,
		});
		run.sink.refuse(error, run.tried);
		record(run, 'refused', 0, reason);
	};

	// The fuller the line, the longer it takes until a newcomer would get through.
	const retryAfter = () =>
		shortestRetryAfterSeconds +
		line.length() / Math.max(1, 10 * fleet.ids().length);

	const refuseAs = (run: Run, reason: string) => {
		refuse(
			run,
			run.outcome === 'not-run' ? 'overloaded' : 'attempt-failed',
			reason,
		);
	};

	const advance = (run: Run): 'under-way' | 'no-room' => {
		if (run.isOver) {
			return 'under-way';
		}

		const now = clock();
		const choice = options.choose(
			run.exchange,
			{regions: run.regions, members: run.members},
			run.placement,
			now,
		);
		switch (choice.kind) {
			case 'server': {
				leaveLine(run);
				callServer(run, choice.id);
				return 'under-way';
			}

			case 'peer': {
				leaveLine(run);
				callPeer(run, choice.member, choice.region);
				return 'under-way';
			}

			case 'full':
			case 'none': {
				return 'no-room';
			}
		}
	};

	const advanceOrWait = (run: Run) => {
		if (advance(run) === 'under-way') {
			return;
		}

		const now = clock();
		const {route, receivedAt, hop} = run.exchange;
		if (hop && !hop.canWait) {
			giveUp(run, 'No backend server has room');
			return;
		}

		const waiting: WaitingRequest = {
			priority: route.priority,
			since: now,
			until: run.hasBegun
				? now + route.targetLatencyMs
				: Math.max(now, receivedAt + route.targetLatencyMs * waitingPart),
			attempt: () => advance(run) === 'under-way',
			giveUp() {
				run.steps.push('gave-up-waiting');
				giveUp(run, 'No backend server has room');
			},
		};
		run.waiting = waiting;
		line.add(waiting);
	};

	const giveUp = (run: Run, reason: string) => {
		if (run.hasBegun) {
			breakOff(run, reason);
		} else {
			refuseAs(run, reason);
		}
	};

	const breakOff = (run: Run, reason: string) => {
		close(run);
		run.sink.breakOff();
		record(run, 'broken', 0, reason);
	};

	// What goes to the next hop: the caller's headers, and what the next one needs to know.
	const outgoing = (run: Run, extra: readonly string[]): readonly string[] => {
		const {exchange} = run;
		const resumeFrom = run.relay?.lastEventId() ?? exchange.lastEventId;
		const remainingMs = Math.max(1, Math.round(exchange.expiresAt - clock()));
		return [
			...exchange.headers,
			names.remainingMs,
			String(remainingMs),
			...(resumeFrom === undefined ? [] : [lastEventIdHeader, resumeFrom]),
			...extra,
		];
	};

	const callServer = (run: Run, id: string) => {
		const {exchange} = run;
		const attempt = fleet.begin(id, run.placement, clock());
		run.excluded.add(id);
		run.tried.push(id);
		run.steps.push(`server ${id}`);
		start(
			run,
			{attempt, server: id, member: undefined, region: undefined},
			{
				key: `server ${id}`,
				address: fleet.server(id)!.address,
				maximumConnections: options.connectionsTo(exchange.service),
				headers: outgoing(run, [names.expectedServer, id]),
			},
		);
	};

	const callPeer = (run: Run, member: Member, region: string) => {
		const {exchange} = run;
		run.members.add(member.id);
		run.steps.push(`node ${member.id} in ${region}`);
		start(
			run,
			{attempt: undefined, server: undefined, member, region},
			{
				key: `node ${member.id}/${member.incarnation}`,
				address: member.peerAddress,
				maximumConnections: connectionsToPeer,
				headers: outgoing(
					run,
					encodeHopCall({
						origin: options.self,
						version: options.routesVersion(),
						route: exchange.route.name,
						service: exchange.service,
						remainingMs: exchange.expiresAt - clock(),
						excluded: [...run.excluded],
						canWait: !options.isServedHere(exchange.route),
					}),
				),
			},
		);
	};

	const start = (
		run: Run,
		via: Omit<Current, 'open'>,
		call: {
			readonly key: string;
			readonly address: string;
			readonly maximumConnections: number;
			readonly headers: readonly string[];
		},
	) => {
		const {exchange} = run;
		const current: Current = {...via, open: () => open};
		run.current = current;
		const open = options.client.call(
			{
				...call,
				method: exchange.method,
				target: exchange.target,
				body: exchange.body,
			},
			createListener(run, current),
		);
	};

	const createListener = (run: Run, current: Current): UpstreamListener => {
		const chunks: Buffer[] = [];
		let size = 0;
		let head: UpstreamHead | undefined;
		let isStream = false;
		const isCurrent = () => run.current === current;

		return {
			onHead(given) {
				if (!isCurrent()) {
					return;
				}

				head = given;
				current.attempt?.heard(clock());
				const accepted = takeHead(run, current, given);
				isStream = accepted === 'stream';
			},
			onData(chunk) {
				if (!isCurrent()) {
					return true;
				}

				if (isStream) {
					return isReadyForMore(run, current, chunk);
				}

				chunks.push(chunk);
				size += chunk.length;
				if (size > maximumAnswerBytes) {
					fail(run, {
						outcome: 'ran',
						reason: 'The answer is too long to be kept until it is whole',
						reachedServer: true,
						end: 'failed',
					});
				}

				return true;
			},
			onEnd() {
				if (!head || !isCurrent()) {
					return;
				}

				if (isStream) {
					endStream(run);
				} else {
					answerWhole(run, head, Buffer.concat(chunks, size));
				}
			},
			onFailure({wasSent, reason}) {
				if (isCurrent()) {
					callFailed(run, current, wasSent, reason);
				}
			},
		};
	};

	const callFailed = (
		run: Run,
		current: Current,
		wasSent: boolean,
		reason: string,
	) => {
		if (!wasSent && current.member) {
			options.onPeerFailure(current.member);
		}

		if (!wasSent && current.server !== undefined) {
			options.onServerFailure(current.server, reason);
		}

		fail(run, {
			outcome: wasSent ? 'unknown' : 'not-run',
			reason,
			reachedServer: wasSent,
			end: 'failed',
		});
	};

	const takeHead = (
		run: Run,
		current: Current,
		head: UpstreamHead,
	): 'stream' | 'whole' | 'dropped' => {
		const hop: HopResult | undefined = current.member
			? decodeHopResult(head.header)
			: undefined;
		for (const server of hop?.tried ?? []) {
			run.excluded.add(server);
			run.tried.push(server);
		}

		if (hop?.kind === 'refused') {
			refusedByPeer(run, current, hop);
			return 'dropped';
		}

		const canRetry =
			run.isRepeatable &&
			hasAttemptLeft(run) &&
			(head.status < 500 || retryYield.isWorthwhile(run.exchange.route.name));
		const verdict = judgeHead(head, run.exchange, names, {
			canRetry,
			hasBegun: run.hasBegun,
		});
		switch (verdict.kind) {
			case 'whole': {
				noteRetry(run, head.status);
				current.attempt?.started(clock());
				return 'whole';
			}

			case 'stream': {
				beginStream(run, head);
				return 'stream';
			}

			case 'fault': {
				run.hasFaultAnswer ||= head.status >= 500;
				fail(run, {...verdict.fault, reachedServer: true});
				return 'dropped';
			}
		}
	};

	const noteRetry = (run: Run, status: number) => {
		if (run.hasFaultAnswer) {
			retryYield.note(run.exchange.route.name, status < 500);
		}
	};

	const refusedByPeer = (
		run: Run,
		current: Current,
		hop: Extract<HopResult, {kind: 'refused'}>,
	) => {
		// Without a server that was tried, the region had no room; another node of it has none either.
		if (hop.tried.length === 0 && current.region !== undefined) {
			run.regions.add(current.region);
		}

		fail(run, {
			outcome: hop.outcome,
			reason: hop.reason,
			reachedServer: hop.tried.length > 0,
			end: 'abandoned',
		});
	};

	const hasAttemptLeft = (run: Run) =>
		!run.exchange.hop &&
		run.tried.length < run.exchange.route.maximumAttempts &&
		clock() < run.exchange.expiresAt;

	const beginStream = (run: Run, head: UpstreamHead) => {
		const {route, lastEventId} = run.exchange;
		if (run.hasBegun) {
			run.relay?.restart();
			return;
		}

		run.hasBegun = true;
		run.firstByteAt = clock();
		if (route.isResumable) {
			run.relay = createEventRelay(lastEventId);
		}

		run.sink.begin(head.status, answerHeaders(head), run.tried.at(-1) ?? '');
	};

	const answerHeaders = (head: UpstreamHead) =>
		forwardableHeaders(head.rawHeaders, hopHeaderNames);

	const isReadyForMore = (
		run: Run,
		current: Current,
		chunk: Buffer,
	): boolean => {
		current.attempt?.started(clock());
		const passed = run.relay ? run.relay.push(chunk) : chunk;
		if (passed === undefined) {
			fail(run, {
				outcome: 'ran',
				reason: 'An event of the stream is missing',
				reachedServer: true,
				end: 'failed',
			});
			return true;
		}

		if (passed.length === 0 || run.isDeserted || run.sink.write(passed)) {
			return true;
		}

		run.sink.onDrain(() => {
			current.open().resume();
		});
		return false;
	};

	const endStream = (run: Run) => {
		if (run.relay?.hasRest()) {
			fail(run, {
				outcome: 'ran',
				reason: 'The stream ended in the middle of an event',
				reachedServer: true,
				end: 'failed',
			});
			return;
		}

		run.outcome = 'ran';
		endCurrent(run, 'answered', false);
		close(run);
		run.sink.end();
		record(run, 'answered', 200, '');
	};

	const answerWhole = (run: Run, head: UpstreamHead, body: Buffer) => {
		run.outcome = 'ran';
		run.firstByteAt = clock();
		endCurrent(run, head.status >= 500 ? 'failed' : 'answered', false);
		close(run);
		if (!run.isDeserted) {
			run.sink.begin(
				head.status,
				[...answerHeaders(head), 'content-length', String(body.length)],
				run.tried.at(-1) ?? '',
			);
			run.sink.end(body);
		}

		record(run, 'answered', head.status, '');
	};

	const fail = (run: Run, fault: Fault) => {
		run.steps.push(`${fault.outcome}: ${fault.reason}`);
		const wasLocal = run.current?.server !== undefined;
		endCurrent(run, fault.end, true);
		if (gravity[fault.outcome] > gravity[run.outcome]) {
			run.outcome = fault.outcome;
		}

		if (wasLocal && !fault.reachedServer) {
			run.tried.pop();
		}

		if (run.isDeserted) {
			close(run);
			record(run, 'caller-left', 0, fault.reason);
			return;
		}

		const isRetryable = run.hasBegun
			? run.exchange.route.isResumable && run.isRepeatable
			: run.isRepeatable || fault.outcome === 'not-run';
		if (!isRetryable || !hasAttemptLeft(run) || !isRetryPaid(run, fault)) {
			giveUp(run, fault.reason);
			return;
		}

		advanceOrWait(run);
	};

	const isRetryPaid = ({exchange}: Run, {reachedServer}: Fault): boolean =>
		!reachedServer ||
		options.budget.take(exchange.service, options.nodes(), clock());

	const expire = (run: Run) => {
		if (run.isOver) {
			return;
		}

		const {current} = run;
		const isMayRun = current !== undefined;
		if (isMayRun) {
			run.outcome = run.outcome === 'ran' ? 'ran' : 'unknown';
		}

		run.steps.push('expired');
		endCurrent(run, 'abandoned', true);
		if (run.hasBegun) {
			breakOff(run, 'The time of the request is over');
		} else if (run.outcome === 'not-run') {
			refuse(run, 'overloaded', 'No backend server had room in time');
		} else {
			refuse(run, 'deadline-exceeded', 'No answer within the time');
		}
	};

	const callerLeft = (run: Run) => {
		if (run.isOver || run.isDeserted) {
			return;
		}

		// What must not be repeated is left to end: cutting it off saves little and wastes its work.
		const isLeftToEnd =
			run.current !== undefined && run.exchange.route.kind === 'non-idempotent';
		if (isLeftToEnd) {
			run.isDeserted = true;
			return;
		}

		endCurrent(run, 'abandoned', true);
		close(run);
		record(run, 'caller-left', 0, 'The caller closed its connection');
	};

	const deliver = (exchange: Exchange, sink: AnswerSink): Delivery => {
		const excluded = new Set<string>(exchange.hop?.excluded);
		const run: Run = {
			exchange,
			sink,
			excluded,
			tried: [],
			placement: {
				service: exchange.service,
				sharedPart: exchange.prompt && placementPart(exchange.prompt),
				promptTokens: exchange.prompt?.tokensIn ?? 0,
				excluded,
			},
			regions: new Set(),
			members: new Set(),
			steps: [],
			isRepeatable: isRepeatable(exchange.route),
			timer: undefined,
			waiting: undefined,
			waitedMs: 0,
			current: undefined,
			outcome: 'not-run',
			relay: undefined,
			hasFaultAnswer: false,
			hasBegun: false,
			firstByteAt: undefined,
			isOver: false,
			isDeserted: false,
		};
		runs.add(run);
		run.timer = setTimeout(
			() => {
				expire(run);
			},
			Math.max(1, exchange.expiresAt - clock()),
		);
		if (!exchange.hop) {
			options.budget.earn(exchange.service, clock());
		}

		advanceOrWait(run);
		return {
			callerLeft() {
				callerLeft(run);
			},
		};
	};

	return {
		deliver,
		tick(now) {
			line.pump();
			line.expire(now);
		},
		serverSilent(server) {
			for (const run of runs) {
				if (
					run.current?.server === server &&
					run.isRepeatable &&
					hasAttemptLeft(run)
				) {
					fail(run, {
						outcome: 'unknown',
						reason: 'The backend server fell silent',
						reachedServer: true,
						end: 'failed',
					});
				}
			}
		},
		count: () => runs.size,
		waiting: () => line.length(),
	};
};
