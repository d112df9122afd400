import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {LimitState, SharedVerdict} from '../limits/index.ts';
import type {Logger} from '../logging/index.ts';
import type {StatementFault} from '../server-statements/index.ts';
import {createClientLimitLog} from './client-limit-log.ts';
import type {DeliveryRecord} from './exchange.ts';
import {fingerprintOfExchange} from './fingerprint-of-exchange.ts';

/**
Writes what happened to requests to log and metrics.
*/
export type GatewayObserver = {
	record(record: DeliveryRecord): void;
	/**
	A request that ended before it had a route.
	*/
	rejected(requestId: string, reason: string, status: number): void;
	/**
	A client account was let through, or not.
	*/
	admission(account: string, verdict: SharedVerdict, now: number): void;
	/**
	A backend server stated something about itself that cannot be read.
	*/
	badStatement(server: string, fault: StatementFault): void;
	/**
	Counts and lines that bound themselves by time; called at each tick.
	*/
	tick(now: number): void;
	/**
	All figures in the text format of Prometheus.
	*/
	metrics(): Promise<string>;
};

/**
What an observer is built from.
*/
export type GatewayObserverOptions = {
	readonly logger: Logger;
	readonly gauges: Readonly<Record<string, () => number>>;
	/**
	Age of the routes and of the registry's copy, in milliseconds, for log lines.
	*/
	readonly logContext: () => Readonly<Record<string, number | string>>;
	/**
	How the client accounts stand that have a limit.
	*/
	readonly limitStates: () => ReadonlyMap<string, LimitState>;
};

/**
Lines about requests in a second at the most. Lines of answered requests are left out first.
*/
export const linesPerSecond = 40;

/**
Sampling of answered requests in the log: one in this number.
*/
export const answeredSample = 50;

const secondMs = 1000;
// Upper ends of the latency classes, in milliseconds.
const latencyBuckets = [
	10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800,
];

/**
Builds an observer.
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
		// A gauge enters itself into its registry.
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
	let refilledAt = 0;
	let answered = 0;

	const isWorthLine = (record: DeliveryRecord): boolean => {
		if (record.result !== 'answered' || record.status >= 500) {
			return linesLeft > 0;
		}

		// The last half of the lines is kept for requests that failed or came late.
		if (isLate(record)) {
			return linesLeft > linesPerSecond / 4;
		}

		answered += 1;
		return answered % answeredSample === 0 && linesLeft > linesPerSecond / 2;
	};

	// A server may make the same mistake in each answer: half of the lines is left for requests.
	const warnSparingly = (
		facts: Readonly<Record<string, string>>,
		message: string,
	) => {
		if (linesLeft <= linesPerSecond / 2) {
			return;
		}

		linesLeft -= 1;
		logger.warn(facts, message);
	};

	const line = (record: DeliveryRecord) => {
		const {exchange} = record;
		const facts = {
			requestId: exchange.requestId,
			route: exchange.route.name,
			service: exchange.service,
			client: exchange.client?.name,
			result: record.result,
			status: record.status,
			outcome: record.outcome,
			reason: record.reason,
			// By it the request is found again under its other ids, and among those of a server that crashed.
			fingerprint:
				record.isQuarantined || record.outcome === 'unknown'
					? fingerprintOfExchange(exchange)
					: undefined,
			steps: record.steps.join(' | '),
			origin: exchange.hop?.origin,
			firstByteMs: rounded(record.firstByteMs),
			waitedMs: rounded(record.waitedMs),
			longestPauseMs: rounded(record.longestPauseMs),
			totalMs: rounded(record.totalMs),
			targetMs: exchange.route.targetLatencyMs,
			...options.logContext(),
		};
		if (record.result === 'answered') {
			logger.info(facts, 'request answered');
		} else {
			logger.warn(facts, 'request failed');
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

			if (isWorthLine(record)) {
				linesLeft -= 1;
				line(record);
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
		badStatement(server, {kind, reason}) {
			badStatements.inc({kind});
			warnSparingly(
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
		},
		metrics: async () => registry.metrics(),
	};
};

// Later than the route's users hope for.
const isLate = ({exchange, firstByteMs}: DeliveryRecord): boolean =>
	firstByteMs !== undefined && firstByteMs > exchange.route.targetLatencyMs;

const rounded = (milliseconds: number | undefined): number | undefined =>
	milliseconds === undefined ? undefined : Math.round(milliseconds);

const snakeCase = (name: string): string =>
	name.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`);

// A gauge enters itself into its registry.
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
