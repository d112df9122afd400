/**
The promises of a gateway, checked against what callers received and servers did.
*/
import {mostInSpan} from '../tests/most-in-span.ts';
import {eventOf} from '../stand-ins/registered-server.ts';
import {nodeOfRequest, type CallerRecord} from './soak-callers.ts';
import {applyMs, maximumAttempts} from './soak-routes.ts';
import type {Disturbance} from './soak-nodes.ts';
import {eventsPerStream, type ServerEvent} from './soak-server.ts';

/**
A broken promise.
*/
export type Violation = {
	readonly promise:
		| 'at most once'
		| 'own answer'
		| 'true refusal'
		| 'whole stream'
		| 'attempts'
		| 'leaving'
		| 'rest'
		| 'limit'
		| 'gone'
		| 'configuration'
		| 'recovery';
	readonly detail: string;
};

/**
What was seen in a soak, by one clock in milliseconds.
*/
export type SoakHistory = {
	readonly records: readonly CallerRecord[];
	readonly events: readonly ServerEvent[];
	readonly disturbances: readonly Disturbance[];
	/**
	From when on all is sound again.
	*/
	readonly recoveredAt: number;
};

const drainMs = 3000;
const inFlightMs = 500;
const allowedPerRest = 2;
// A disturbed node may act on what it had not read by then.
const settleMs = 1000;
const recoveredPart = 0.95;
const takeInMs = 1500;
const limitWindowMs = 4000;
const goneMs = 500;
const fewestGone = 3;

/**
Finds what was broken; each finding names the request.
*/
export const checkSoak = (history: SoakHistory): readonly Violation[] => {
	const byRequest = Map.groupBy(history.events, ({requestId}) => requestId);
	return [
		...history.records.flatMap((record) =>
			checkRecord(record, byRequest.get(record.requestId) ?? []),
		),
		...checkStatements(history),
		...checkLimits(history),
		...checkGone(history),
		...checkRoutes(history),
		...checkRecovery(history),
	];
};

const checkRecord = (
	record: CallerRecord,
	events: readonly ServerEvent[],
): readonly Violation[] => {
	const {requestId, kind, status, signature, body, isWhole} = record;
	const runs = events.filter(({isRun}) => isRun);
	const found: Violation[] = [];
	const note = (promise: Violation['promise'], isBroken: boolean) => {
		if (!isBroken) {
			return;
		}

		const detail = `${kind} ${requestId}: status ${status}, ${runs.length} runs, body ${JSON.stringify(body.slice(0, 80))}`;
		found.push({promise, detail});
	};

	const isServed = status === 200 && isWhole;
	note('at most once', kind === 'once' && runs.length > 1);
	note('attempts', events.length > maximumAttempts);
	note(
		'true refusal',
		kind === 'once' && (status === 503 || status === 429) && runs.length > 0,
	);
	note(
		'own answer',
		isServed &&
			(!signature.endsWith(`/${requestId}`) ||
				(kind !== 'stream' && body !== requestId)),
	);
	note('whole stream', kind === 'stream' && isServed && body !== wholeStream);
	note(
		'whole stream',
		kind === 'stream' && status === 200 && !wholeStream.startsWith(body),
	);
	return found;
};

const wholeStream = Array.from({length: eventsPerStream}, (_, index) =>
	eventOf(index + 1),
).join('');

// What a server says binds the node that it told, until that node is disturbed.
const checkStatements = ({
	events,
	disturbances,
}: SoakHistory): readonly Violation[] => {
	const found: Violation[] = [];
	const byPair = Map.groupBy(
		events,
		({server, requestId}) => `${server} ${nodeOfRequest(requestId)}`,
	);
	for (const [pair, ofPair] of byPair) {
		const node = nodeOfRequest(ofPair[0]!.requestId);
		const isExcused = (from: number, until: number) =>
			disturbances.some(
				(each) =>
					each.node === node &&
					each.from <= until &&
					each.until + settleMs >= from,
			);
		for (const [index, told] of ofPair.entries()) {
			const later = ofPair.slice(index + 1);
			found.push(
				...checkLeaving(pair, told, later, isExcused),
				...checkRest(pair, told, later, isExcused),
			);
		}
	}

	return found;
};

type Excuse = (from: number, until: number) => boolean;

const checkLeaving = (
	pair: string,
	told: ServerEvent,
	later: readonly ServerEvent[],
	isExcused: Excuse,
): readonly Violation[] => {
	// A later answer without the announcement is one of the server's next life.
	const late = told.isLeaving
		? later.find(({at}) => at > told.at + drainMs + inFlightMs)
		: undefined;
	return !late?.isLeaving || isExcused(told.at, late.at)
		? []
		: [
				{
					promise: 'leaving',
					detail: `${pair}: ${late.requestId} ${Math.round(late.at - told.at)} ms after`,
				},
			];
};

const checkRest = (
	pair: string,
	told: ServerEvent,
	later: readonly ServerEvent[],
	isExcused: Excuse,
): readonly Violation[] => {
	const {at, backoffMs: restMs} = told;
	if (restMs === undefined || isExcused(at, at + restMs)) {
		return [];
	}

	const within = later.filter(
		(each) =>
			each.backoffMs !== undefined &&
			each.at > at + inFlightMs &&
			each.at < at + restMs,
	);
	return within.length <= allowedPerRest
		? []
		: [{promise: 'rest', detail: `${pair}: ${within.length} in ${restMs} ms`}];
};

const checkLimits = ({
	events,
	disturbances,
}: SoakHistory): readonly Violation[] =>
	Map.groupBy(events, ({server}) => server)
		.values()
		.flatMap((ofServer) => limitedSpans(ofServer))
		.flatMap((span) => checkLimit(span, disturbances))
		.toArray();

// Of all nodes together, but for those that were disturbed since the limit was stated first.
const checkLimit = (
	span: LimitedSpan,
	disturbances: readonly Disturbance[],
): readonly Violation[] => {
	const [{at: statedAt, server, limit = 0}] = span;
	const times = span
		.filter(
			({at, requestId}) =>
				at > statedAt + takeInMs &&
				disturbances.every(
					({node, from, until}) =>
						node !== nodeOfRequest(requestId) ||
						from > at ||
						until + settleMs < statedAt,
				),
		)
		.map(({at}) => at);
	const most = mostInSpan(times, limitWindowMs);
	const allowed = 1.5 * limit * (limitWindowMs / 1000) + 5;
	return most <= allowed
		? []
		: [
				{
					promise: 'limit',
					detail: `${server}: ${most} in ${limitWindowMs} ms, allowed ${allowed}`,
				},
			];
};

type LimitedSpan = readonly [ServerEvent, ...ServerEvent[]];

// The runs of requests whose answers state a limit.
const limitedSpans = (
	events: readonly ServerEvent[],
): readonly LimitedSpan[] => {
	const spans: Array<[ServerEvent, ...ServerEvent[]]> = [];
	let current: [ServerEvent, ...ServerEvent[]] | undefined;
	for (const event of events) {
		if (event.limit === undefined) {
			current = undefined;
		} else if (current) {
			current.push(event);
		} else {
			current = [event];
			spans.push(current);
		}
	}

	return spans;
};

// Work for callers that left is to end within half a second, but for a quarter of it at most.
const checkGone = ({
	records,
	events,
	disturbances,
}: SoakHistory): readonly Violation[] => {
	const left = new Map(
		records
			.filter(
				({leftAt, node}) =>
					leftAt < Infinity &&
					disturbances.every(
						(each) =>
							each.node !== node ||
							each.from > leftAt + goneMs ||
							each.until + settleMs < leftAt,
					),
			)
			.map(({requestId, leftAt}) => [requestId, leftAt]),
	);
	const works = events.filter(({requestId}) => left.has(requestId));
	const late = works.filter(
		({requestId, endedAt}) => endedAt > left.get(requestId)! + goneMs,
	);
	return late.length > Math.max(fewestGone, works.length / 4)
		? [
				{
					promise: 'gone',
					detail: `${late.length} of ${works.length} go on, such as ${late[0]!.requestId}`,
				},
			]
		: [];
};

// A route that was added is not refused as unknown once it must be in force.
const checkRoutes = ({
	records,
	disturbances,
}: SoakHistory): readonly Violation[] =>
	records
		.filter(
			({kind, status, node, sentAt}) =>
				kind === 'added' &&
				status === 404 &&
				disturbances.every(
					(each) =>
						each.node !== node ||
						each.from > sentAt ||
						each.until + applyMs < sentAt,
				),
		)
		.map(({requestId, path}) => ({
			promise: 'configuration',
			detail: `${requestId}: 404 for ${path}`,
		}));

const checkRecovery = ({
	records,
	recoveredAt,
}: SoakHistory): readonly Violation[] => {
	const calm = records.filter(
		({sentAt, leftAt}) => sentAt >= recoveredAt && leftAt === Infinity,
	);
	const served = calm.filter(({status, isWhole}) => status === 200 && isWhole);
	return served.length >= calm.length * recoveredPart
		? []
		: [
				{
					promise: 'recovery',
					detail: `${served.length} of ${calm.length} served`,
				},
			];
};
