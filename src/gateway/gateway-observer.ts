import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {LimitState, SharedVerdict} from '../limits/index.ts';
import type {Logger} from '../logging/index.ts';
import {softwareVersionOf, type RegisteredServer} from '../registry/index.ts';
import type {StatementFault} from '../server-statements/index.ts';
import type {HedgeChange} from './delivery/index.ts';
import {createClientLimitLog} from './client-limit-log.ts';
import type {DeliveryRecord, Exchange} from './exchange.ts';
import {
	fingerprintOfExchange,
	partFingerprintsOfExchange,
} from './fingerprint-of-exchange.ts';
import {lengthBoundOf, sizeOf, type StreamRecord} from './stream-record.ts';

/**
Records the outcome of requests in the log and in metrics.
*/
export type GatewayObserver = {
	record(record: DeliveryRecord): void;
	/**
	Records a request that ended before it had a route.
	*/
	rejected(requestId: string, reason: string, status: number): void;
	/**
	Records whether a request of a client account was admitted.
	*/
	admission(account: string, verdict: SharedVerdict, now: number): void;
	/**
	Records a change of a second call of a request whose backend server is silent.
	*/
	hedge(exchange: Exchange, change: HedgeChange): void;
	/**
	Records a statement of a backend server that cannot be parsed.
	*/
	badStatement(server: string, fault: StatementFault): void;
	/**
	Renews the log line budget and logs accounts that are no longer limited; called at each tick.
	*/
	tick(now: number): void;
	/**
	All metrics in the Prometheus text format.
	*/
	metrics(): Promise<string>;
};

/**
Options of `createGatewayObserver`.
*/
export type GatewayObserverOptions = {
	readonly logger: Logger;
	readonly gauges: Readonly<Record<string, () => number>>;
	/**
	Versions and ages, in milliseconds, of the routes and the registry's copy; added to log lines about requests.
	*/
	readonly logContext: () => Readonly<Record<string, number | string>>;
	/**
	State of each client account that has a limit.
	*/
	readonly limitStates: () => ReadonlyMap<string, LimitState>;
	/**
	The backend servers in the registry's copy.
	*/
	readonly registeredServers: () => Iterable<RegisteredServer>;
};

/**
Maximum number of log lines about requests per second. Lines about answered requests are dropped first.
*/
export const linesPerSecond = 40;

/**
Maximum number of log lines per second about requests that were sent and received no complete response. Refusals do not displace
them.
*/
export const incompleteLinesPerSecond = 40;

/**
Maximum number of log lines per second about streams that ended well.
*/
export const streamLinesPerSecond = 40;

/**
Sampling of answered requests in the log: one in this many is logged.
*/
export const answeredSample = 50;

const secondMs = 1000;
const maximumPromptPartsLength = 200;
// Upper bounds of the latency histogram buckets, in milliseconds.
const latencyBuckets = [
	10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800,
];

/**
Creates an observer.
*/
export const createGatewayObserver = (
	options: GatewayObserverOptions,
): GatewayObserver => {
	const {logger} = options;
	const registry = new Registry();
	const requests = new Counter({
		name: 'quillford_requests_total',
		help: 'Requests by route, result and status',
		labelNames: ['route', 'result', 'status'],
		registers: [registry],
	});
	const streams = new Counter({
		name: 'quillford_streams_total',
		help: 'Streams by route, upper bound of the expected number of generated tokens, and end',
		labelNames: ['route', 'tokens', 'end'],
		registers: [registry],
	});
	const streamsBySoftware = new Counter({
		name: 'quillford_streams_by_software_total',
		help: 'Streams by service and version of the software that wrote their first event',
		labelNames: ['service', 'version'],
		registers: [registry],
	});
	const mixedStreams = new Counter({
		name: 'quillford_streams_of_several_versions_total',
		help: 'Answers with events of several versions of the software of backend servers',
		registers: [registry],
	});
	const bodies = new Counter({
		name: 'quillford_response_bodies_total',
		help: 'Responses of backend servers and nodes by the framing of their body, where their events ended, and result of the request',
		labelNames: ['framing', 'tail', 'result'],
		registers: [registry],
	});
	const incomplete = new Counter({
		name: 'quillford_incomplete_responses_total',
		help: 'Requests that were sent and received no complete response, by who ended them',
		labelNames: ['route', 'ender'],
		registers: [registry],
	});
	const hedges = new Counter({
		name: 'quillford_hedges_total',
		help: 'Second calls of requests whose backend server was silent, by route and change',
		labelNames: ['route', 'change'],
		registers: [registry],
	});
	const silenceAtEnd = new Histogram({
		name: 'quillford_silence_at_end_milliseconds',
		help: 'Time since the last byte of the backend server when such a request ended',
		labelNames: ['ender'],
		buckets: latencyBuckets,
		registers: [registry],
	});
	const rejections = new Counter({
		name: 'quillford_rejected_total',
		help: 'Requests that ended before they had a route',
		labelNames: ['status'],
		registers: [registry],
	});
	const admissions = new Counter({
		name: 'quillford_client_requests_total',
		help: 'Requests by client account, and whether its limit let them through',
		labelNames: ['client', 'verdict'],
		registers: [registry],
	});
	registerLimitGauge(
		registry,
		'part',
		options,
		({admissionFraction}) => admissionFraction,
	);
	registerLimitGauge(
		registry,
		'asked_per_second',
		options,
		({usage}) => usage.requested,
	);
	registerLimitGauge(
		registry,
		'passed_in_window',
		options,
		({usage}) => usage.admitted,
	);
	registerServerGauge(registry, options);
	const quarantineRefusals = new Counter({
		name: 'quillford_quarantine_refusals_total',
		help: 'Requests not sent on because backend servers crashed each time that they ran them',
		registers: [registry],
	});
	const badStatements = new Counter({
		name: 'quillford_bad_statements_total',
		help: 'Statements of backend servers about themselves that cannot be read',
		labelNames: ['kind'],
		registers: [registry],
	});
	const droppedLines = new Counter({
		name: 'quillford_log_lines_dropped_total',
		help: 'Log lines about requests that were left out to bound the volume',
		registers: [registry],
	});
	const firstByte = new Histogram({
		name: 'quillford_first_byte_milliseconds',
		help: 'Time to the first event or the whole answer',
		labelNames: ['route'],
		buckets: latencyBuckets,
		registers: [registry],
	});
	const waited = new Histogram({
		name: 'quillford_waited_milliseconds',
		help: 'Time that requests waited for room at a backend server',
		labelNames: ['route'],
		buckets: latencyBuckets,
		registers: [registry],
	});
	const pause = new Histogram({
		name: 'quillford_longest_pause_milliseconds',
		help: 'Longest time between two pieces of a stream',
		labelNames: ['route'],
		buckets: latencyBuckets,
		registers: [registry],
	});
	for (const [name, read] of Object.entries(options.gauges)) {
		// A gauge registers itself with its registry.
		// eslint-disable-next-line no-new -- nothing else needs the object
		new Gauge({
			name: `quillford_${snakeCase(name)}`,
			help: snakeCase(name).replaceAll('_', ' '),
			registers: [registry],
			collect() {
				this.set(read());
			},
		});
	}

	const limitLog = createClientLimitLog(logger, (account) =>
		options.limitStates().get(account),
	);
	let linesLeft = linesPerSecond;
	let streamLinesLeft = streamLinesPerSecond;
	let incompleteLinesLeft = incompleteLinesPerSecond;
	let refilledAt = 0;
	let answered = 0;

	const countStream = ({exchange, stream}: DeliveryRecord) => {
		const bound = lengthBoundOf(exchange);
		if (!stream || bound === undefined) {
			return;
		}

		const {end} = stream;
		streams.inc({route: exchange.route.name, tokens: bound, end});
	};

	const countSoftware = ({exchange, stream}: DeliveryRecord) => {
		const [version] = stream?.softwareVersions ?? [];
		if (version !== undefined) {
			streamsBySoftware.inc({service: exchange.service, version});
		}

		if (stream && hasSeveralVersions(stream)) {
			mixedStreams.inc();
		}
	};

	const countBody = ({bodyFraming, streamTail, result}: DeliveryRecord) => {
		if (bodyFraming !== undefined) {
			bodies.inc({framing: bodyFraming, tail: streamTail ?? '', result});
		}
	};

	const countIncomplete = ({exchange, incomplete: end}: DeliveryRecord) => {
		if (!end) {
			return;
		}

		const {endedBy, silentMs} = end;
		incomplete.inc({route: exchange.route.name, ender: endedBy});
		silenceAtEnd.observe({ender: endedBy}, silentMs);
	};

	const shouldLog = (record: DeliveryRecord): boolean => {
		if (record.incomplete) {
			incompleteLinesLeft -= 1;
			return incompleteLinesLeft >= 0;
		}

		if (record.result !== 'answered' || record.status >= 500) {
			return linesLeft > 0;
		}

		// Half of the lines is reserved for requests that failed or were late.
		if (isLate(record)) {
			return linesLeft > linesPerSecond / 4;
		}

		if (isUnusualStream(record)) {
			return linesLeft > 0;
		}

		if (record.stream) {
			streamLinesLeft -= 1;
			return streamLinesLeft >= 0;
		}

		answered += 1;
		return answered % answeredSample === 0 && linesLeft > linesPerSecond / 2;
	};

	// A server may repeat the same fault in each response, so half of the lines is reserved for requests.
	const warnWithinBudget = (
		fields: Readonly<Record<string, string | number>>,
		message: string,
	) => {
		if (linesLeft <= linesPerSecond / 2) {
			return;
		}

		linesLeft -= 1;
		logger.warn(fields, message);
	};

	const logRequest = (record: DeliveryRecord) => {
		const {exchange} = record;
		const fields = {
			requestId: exchange.requestId,
			route: exchange.route.name,
			service: exchange.service,
			client: exchange.client?.name,
			result: record.result,
			status: record.status,
			outcome: record.outcome,
			reason: record.reason,
			...crashFields(record),
			steps: record.steps.join(' | '),
			origin: exchange.hop?.origin,
			firstByteMs: rounded(record.firstByteMs),
			waitedMs: rounded(record.waitedMs),
			longestPauseMs: rounded(record.longestPauseMs),
			bodyFraming: record.bodyFraming,
			streamTail: record.streamTail,
			totalMs: rounded(record.totalMs),
			...incompleteFields(record),
			receivedRoutesVersion: record.receivedRoutesVersion,
			targetMs: exchange.route.targetLatencyMs,
			...streamFields(record),
			...options.logContext(),
		};
		if (record.result === 'answered') {
			logger.info(fields, 'request answered');
		} else {
			logger.warn(fields, 'request failed');
		}
	};

	return {
		record(record) {
			const {route} = record.exchange;
			requests.inc({
				route: route.name,
				result: record.result,
				status: record.status,
			});
			countStream(record);
			countSoftware(record);
			countBody(record);
			countIncomplete(record);
			if (record.isQuarantined) {
				quarantineRefusals.inc();
			}

			if (record.firstByteMs !== undefined) {
				firstByte.observe({route: route.name}, record.firstByteMs);
			}

			if (record.waitedMs > 0) {
				waited.observe({route: route.name}, record.waitedMs);
			}

			if (record.longestPauseMs > 0) {
				pause.observe({route: route.name}, record.longestPauseMs);
			}

			if (shouldLog(record)) {
				linesLeft -= isCompleteInTime(record) || record.incomplete ? 0 : 1;
				logRequest(record);
			} else if (record.result !== 'answered') {
				droppedLines.inc();
			}
		},
		rejected(requestId, reason, status) {
			rejections.inc({status});
			if (linesLeft > 0) {
				linesLeft -= 1;
				logger.warn(
					{requestId, reason, status, ...options.logContext()},
					'request rejected',
				);
			} else {
				droppedLines.inc();
			}
		},
		admission(account, verdict, now) {
			admissions.inc({client: account, verdict: verdict.kind});
			limitLog.record(account, verdict, now);
		},
		hedge({requestId, route}, change) {
			hedges.inc({route: route.name, change: change.kind});
			if (change.kind !== 'sent') {
				return;
			}

			const {server, silentMs, target} = change;
			warnWithinBudget(
				{
					requestId,
					route: route.name,
					server,
					silentMs: Math.round(silentMs),
					target,
				},
				'second call for a request at a silent backend server',
			);
		},
		badStatement(server, {kind, reason}) {
			badStatements.inc({kind});
			warnWithinBudget(
				{server, kind, reason},
				'statement of a backend server ignored',
			);
		},
		tick(now) {
			limitLog.tick(now);
			if (!(now - refilledAt >= secondMs)) {
				return;
			}

			refilledAt = now;
			linesLeft = linesPerSecond;
			streamLinesLeft = streamLinesPerSecond;
			incompleteLinesLeft = incompleteLinesPerSecond;
		},
		metrics: async () => registry.metrics(),
	};
};

// Whether the first byte came later than the target latency of the route.
const isLate = ({exchange, firstByteMs}: DeliveryRecord): boolean =>
	firstByteMs !== undefined && firstByteMs > exchange.route.targetLatencyMs;

// A stream that ended well has a budget of its own, and leaves that of other lines as it is.
const isCompleteInTime = (record: DeliveryRecord): boolean =>
	record.stream?.end === 'complete' &&
	record.status < 500 &&
	!isLate(record) &&
	!isUnusualStream(record);

// Streams whose lines are not left out with those of other streams that ended well.
const isUnusualStream = ({stream, streamTail}: DeliveryRecord): boolean =>
	(stream !== undefined && hasSeveralVersions(stream)) ||
	(streamTail !== undefined && streamTail !== 'between-events');

const hasSeveralVersions = ({softwareVersions}: StreamRecord): boolean =>
	softwareVersions.length > 1;

const streamFields = ({
	exchange,
	stream,
}: DeliveryRecord): Readonly<Record<string, number | string | undefined>> =>
	stream
		? {
				size: sizeOf(exchange),
				expectedTokensOut: exchange.prompt?.expectedTokensOut,
				end: stream.end,
				loadAtStart: rounded(stream.loadAtStart),
				remainingAtStartMs: rounded(stream.remainingAtStartMs),
				chunks: stream.chunks,
				softwareVersions: stream.softwareVersions.join(' '),
				continues: exchange.continuedRequestId,
				resumedAfter: exchange.lastEventId,
				chunkIntervalMs: rounded(stream.chunkIntervalMs),
			}
		: {};

const incompleteFields = ({
	incomplete,
}: DeliveryRecord): Readonly<Record<string, number | string | undefined>> =>
	incomplete
		? {
				endedBy: incomplete.endedBy,
				lastByteMs: rounded(incomplete.lastByteMs),
				silentMs: rounded(incomplete.silentMs),
			}
		: {};

const rounded = (milliseconds: number | undefined): number | undefined =>
	milliseconds === undefined ? undefined : Math.round(milliseconds);

// Identify the request under its other ids, and its parts among those of a server that crashed.
const crashFields = ({
	exchange,
	isQuarantined,
	outcome,
}: DeliveryRecord): Readonly<Record<string, string | undefined>> =>
	isQuarantined || outcome === 'unknown'
		? {
				fingerprint: fingerprintOfExchange(exchange),
				promptParts: promptPartsOf(exchange),
				partFingerprints: partFingerprintsOfExchange(exchange).join(' '),
			}
		: {};

// The ids of the parts are texts of callers, so their length is bounded.
const promptPartsOf = ({prompt}: Exchange): string | undefined =>
	prompt?.parts
		.map(({id}) => id)
		.join(' ')
		.slice(0, maximumPromptPartsLength);

const snakeCase = (name: string): string =>
	name.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`);

// A gauge registers itself with its registry.
const registerLimitGauge = (
	registry: Registry,
	name: string,
	{limitStates}: GatewayObserverOptions,
	read: (state: LimitState) => number,
): Gauge =>
	new Gauge({
		name: `quillford_client_limit_${name}`,
		help: `Limit of client accounts: ${name.replaceAll('_', ' ')}`,
		labelNames: ['client'],
		registers: [registry],
		collect() {
			this.reset();
			for (const [client, state] of limitStates()) {
				this.set({client}, read(state));
			}
		},
	});

const registerServerGauge = (
	registry: Registry,
	{registeredServers}: GatewayObserverOptions,
): Gauge =>
	new Gauge({
		name: 'quillford_registered_servers',
		help: 'Backend servers in the registry by service, zone and version of their software',
		labelNames: ['service', 'zone', 'version'],
		registers: [registry],
		collect() {
			this.reset();
			for (const server of registeredServers()) {
				this.inc({
					service: server.service,
					zone: server.availabilityZone,
					version: softwareVersionOf(server),
				});
			}
		},
	});
