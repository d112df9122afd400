/**
Checks the guarantees of the gateway against the records of callers and servers.
*/
import {callerPatienceMs} from '../src/backends/index.ts';
import {maximumInWindow} from '../tests/most-in-span.ts';
import {
	callerDeadlineMs,
	eventsIn,
	firstOf,
	lastIndexOf,
	nodeOfRequest,
	type CallerRecord,
} from './soak-callers.ts';
import {
	applyMs,
	maximumAttempts,
	shortestTimeoutMs,
	type LostRoutes,
} from './soak-routes.ts';
import {maximumMemoryMb, type Disturbance} from './soak-nodes.ts';
import {
	eventsPerStream,
	type ServerEvent,
	type ServerFall,
} from './soak-server.ts';

/**
Violation of a guarantee.
*/
export type Violation = {
	readonly promise:
		| 'at most once'
		| 'own answer'
		| 'refusal without run'
		| 'complete stream'
		| 'one version'
		| 'continuation'
		| 'attempts'
		| 'leaving'
		| 'backoff'
		| 'limit'
		| 'cancellation'
		| 'configuration'
		| 'fatal part'
		| 'refusals'
		| 'silence'
		| 'stop'
		| 'memory'
		| 'recovery';
	readonly detail: string;
};

/**
Records of a soak test. All times are in milliseconds of one clock.
*/
export type SoakHistory = {
	readonly records: readonly CallerRecord[];
	readonly events: readonly ServerEvent[];
	readonly disturbances: readonly Disturbance[];
	/**
	Times at which servers crashed on the fatal part of prompts.
	*/
	readonly fatalCrashes: readonly number[];
	/**
	Failures of servers under the requests that they refused, and the number of servers.
	*/
	readonly falls: readonly ServerFall[];
	readonly servers: number;
	/**
	Time from which all nodes and servers work without faults again.
	*/
	readonly recoveredAt: number;
	/**
	Ids of the requests whose heads have arrived at a server, also at a silent one.
	*/
	readonly received: ReadonlySet<string>;
	/**
	The largest amount of memory that a node has taken, in MB.
	*/
	readonly peakMemoryMb: number;
	/**
	Times by which all nodes had been killed, so that no knowledge from before was left.
	*/
	readonly wholeLosses: readonly number[];
	readonly lostRoutes: readonly LostRoutes[];
};

const drainMs = 3000;
const inFlightMs = 500;
const allowedPerBackoff = 2;
// After a disturbance, a node may still act on state from before it.
const settleMs = 1000;
const minimumServedFraction = 0.95;
const limitAdoptionMs = 1500;
const limitWindowMs = 4000;
const cancellationMs = 500;
const allowedUncancelled = 3;
// A node counts as undisturbed from this time after the end of its disturbance.
const contactMs = 5000;
const minimumTakenUp = 12;
const minimumVersionServers = 2;
const versionSpanMs = 500;

/**
Finds violations of guarantees. Each violation names a request, a server or a count.
*/
export const checkSoak = (history: SoakHistory): readonly Violation[] => {
	const byRequest = Map.groupBy(history.events, ({requestId}) => requestId);
	return [
		...history.records.flatMap((record) =>
			checkRecord(record, byRequest.get(record.requestId) ?? []),
		),
		...checkStatements(history),
		...checkLimits(history),
		...checkCancellation(history),
		...checkRoutes(history),
		...checkRecovery(withoutFatalPart(history)),
		...checkContinuations(withoutFatalPart(history)),
		...checkFatalPart(history),
		...checkFalls(history),
		...checkSilence(withoutFatalPart(history)),
		...checkStops(history),
		...checkMemory(history),
	];
};

const withoutFatalPart = (history: SoakHistory): SoakHistory => ({
	...history,
	records: history.records.filter(({hasFatalPart}) => !hasFatalPart),
});

// A request is certainly read if it was sent this long before the node was stopped, in milliseconds.
const readMs = 200;
const badGateway = 502;

// A stopped node refuses the requests that it has read and not sent, or sends them.
const checkStops = ({
	records,
	received,
	disturbances,
}: SoakHistory): readonly Violation[] => {
	const stops = disturbances.filter(({isStop}) => isStop);
	return records
		.filter(
			({requestId, status, leftAt, sentAt, node, latencyMs}) =>
				(status === 0 || status === badGateway) &&
				leftAt === Infinity &&
				latencyMs < callerDeadlineMs &&
				!received.has(requestId) &&
				stops.some(
					(stop) =>
						stop.node === node &&
						sentAt < stop.from - readMs &&
						sentAt + latencyMs > stop.from,
				),
		)
		.map(({requestId, status}) => ({
			promise: 'stop',
			detail: `request ${requestId} waited at a stopped node and ended with status ${status}, though no server had received it`,
		}));
};

const checkMemory = ({peakMemoryMb}: SoakHistory): readonly Violation[] =>
	peakMemoryMb <= maximumMemoryMb
		? []
		: [
				{
					promise: 'memory',
					detail: `a node took ${Math.round(peakMemoryMb)} MB, ${maximumMemoryMb} MB allowed`,
				},
			];

const cutFractionInVain = 0.01;

// Nodes leave the requests at a silent server where they are while callers wait, except for those whose caller has left, whose deadline
// has passed, or whose node was disturbed.
const checkSilence = ({
	records,
	events,
	disturbances,
}: SoakHistory): readonly Violation[] => {
	const byId = new Map(records.map((record) => [record.requestId, record]));
	const runsOf = Map.groupBy(events, ({requestId}) => requestId);

	// The first call of the request went on and answered, so that the second one was not needed.
	const isSecondCall = (event: ServerEvent, record: CallerRecord): boolean =>
		record.isWhole &&
		(runsOf.get(event.requestId) ?? []).some(
			(first) =>
				first.at < event.at &&
				first.endedAt > event.endedAt - inFlightMs &&
				record.signature === `${first.server}/${event.requestId}`,
		);

	const isExempt = (event: ServerEvent): boolean => {
		const {requestId, at, endedAt} = event;
		const record = byId.get(requestId);
		return (
			!record ||
			isSecondCall(event, record) ||
			record.leftAt < endedAt ||
			endedAt - record.sentAt >= shortestTimeoutMs ||
			disturbances.some(
				({node, from, until}) =>
					node === nodeOfRequest(requestId) &&
					from <= endedAt &&
					until + settleMs >= at,
			)
		);
	};

	const cut = events.filter(
		(event) =>
			event.cutAfterMs !== undefined &&
			event.cutAfterMs < callerPatienceMs &&
			!isExempt(event),
	);
	const runs = events.filter(
		({isRun, metSilence}) => isRun && metSilence,
	).length;
	return cut.length <= cutFractionInVain * runs
		? []
		: [
				{
					promise: 'silence',
					detail: `${cut.length} of ${runs} runs at silent servers were cut, first ${cut[0]!.requestId} at ${cut[0]!.server}`,
				},
			];
};

const toleratedFatalCrashes = 5;
const toleratedFatalSends = 3;

// After its fifth crash and the time in which nodes are in contact again, next to no request with the part reaches a server.
const checkFatalPart = (history: SoakHistory): readonly Violation[] => {
	const bounds = [-Infinity, ...history.wholeLosses, Infinity];
	return bounds
		.slice(1)
		.flatMap((until, index) =>
			checkFatalPartBetween(history, bounds[index]!, until),
		);
};

// A node that is killed or suspended soon after a crash may have told no other one of it.
const reportMs = 500;

// Names the nodes whose requests with the part were at a server when it crashed, with "(lost)" behind those that were disturbed at once.
const describeCrash = (
	at: number,
	{events, disturbances}: SoakHistory,
): string => {
	const nodes = events
		.filter(
			(event) => event.hasFatalPart && event.at <= at && event.endedAt >= at,
		)
		.map(({requestId}) => nodeOfRequest(requestId));
	const described = [...new Set(nodes)].map((node) =>
		disturbances.some(
			(each) =>
				each.node === node && each.from < at + reportMs && each.until > at,
		)
			? `${node} (lost)`
			: String(node),
	);
	return `${Math.round(at)} ms at nodes ${described.join(', ')}`;
};

const checkFatalPartBetween = (
	history: SoakHistory,
	from: number,
	until: number,
): readonly Violation[] => {
	const {events} = history;
	const fatalCrashes = history.fatalCrashes.filter(
		(at) => at >= from && at < until,
	);
	const fifthAt = fatalCrashes[toleratedFatalCrashes - 1] ?? Infinity;
	const late = events.filter(
		({hasFatalPart, at}) =>
			hasFatalPart && at > fifthAt + contactMs && at < until,
	);
	return late.length > toleratedFatalSends
		? [
				{
					promise: 'fatal part',
					detail: `${late.length} requests with the part reached servers later than ${contactMs} ms after its fifth crash; crashes: ${fatalCrashes.map((at) => describeCrash(at, history)).join('; ')}; requests: ${late.map(({requestId, at}) => `${requestId} at ${Math.round(at)} ms`).join(', ')}`,
				},
			]
		: [];
};

// In one time in which servers are brittle, they fail at most twice and once more for each ten of them. A failure counts if most of what
// was refused came from undisturbed nodes.
const checkFalls = ({
	falls,
	servers,
	disturbances,
}: SoakHistory): readonly Violation[] => {
	const isUndisturbed = (requestId: string, at: number): boolean =>
		disturbances.every(
			({node, from, until}) =>
				node !== nodeOfRequest(requestId) ||
				from > at ||
				until + contactMs < at,
		);
	const counted = falls.filter(
		({at, refused}) =>
			refused.filter((requestId) => isUndisturbed(requestId, at)).length >
			refused.length / 2,
	);
	const allowed = 2 + servers / 10;
	return Map.groupBy(counted, ({brittleSince}) => Math.round(brittleSince))
		.values()
		.filter((each) => each.length > allowed)
		.map((each) => ({
			promise: 'refusals' as const,
			detail: `${each.length} servers failed under the requests that they refused, allowed ${allowed}`,
		}))
		.toArray();
};

const checkRecord = (
	record: CallerRecord,
	events: readonly ServerEvent[],
): readonly Violation[] => {
	const {requestId, kind, status, signature, body, isWhole} = record;
	const runs = events.filter(({isRun}) => isRun);
	const found: Violation[] = [];
	const addIf = (promise: Violation['promise'], isBroken: boolean) => {
		if (!isBroken) {
			return;
		}

		const detail = `${kind} ${requestId}: status ${status}, ${runs.length} runs, body ${JSON.stringify(body.slice(0, 80))}`;
		found.push({promise, detail});
	};

	const isServed = status === 200 && isWhole;
	addIf('at most once', kind === 'once' && runs.length > 1);
	addIf('attempts', events.length > maximumAttempts);
	addIf(
		'refusal without run',
		kind === 'once' && (status === 503 || status === 429) && runs.length > 0,
	);
	addIf(
		'own answer',
		isServed &&
			(!signature.endsWith(`/${requestId}`) ||
				(kind !== 'stream' && body !== requestId)),
	);
	addIf('complete stream', kind === 'stream' && hasGap(record));
	addIf(
		'complete stream',
		kind === 'stream' && isServed && lastIndexOf(record) !== eventsPerStream,
	);
	addIf('one version', kind === 'stream' && versionsOf(record).size > 1);
	return found;
};

const hasGap = (record: CallerRecord): boolean => {
	const before = record.continues ? lastIndexOf(record.continues) : 0;
	const events = eventsIn(record);
	const isOfEvents =
		record.status !== 200 ||
		record.body
			.split('\n\n')
			.slice(0, -1)
			.every((_, position) => events[position] !== undefined);
	return (
		!isOfEvents ||
		events.some(({index}, position) => index !== before + position + 1)
	);
};

// Versions that wrote the events of a stream, over all requests of its caller.
const versionsOf = (record: CallerRecord): ReadonlySet<string> =>
	new Set([
		...eventsIn(record).map(({version}) => version),
		...(record.continues ? versionsOf(record.continues) : []),
	]);

// Streams that are taken up by name at undisturbed nodes have to go on half as often as new ones begin there, while two servers of
// their version are in use.
const checkContinuations = ({
	records,
	disturbances,
	events,
}: SoakHistory): readonly Violation[] => {
	const atSoundNodes = records.filter(
		({kind, node, sentAt, latencyMs}) =>
			kind === 'stream' &&
			disturbances.every(
				(each) =>
					each.node !== node ||
					each.from > sentAt + latencyMs ||
					each.until + contactMs < sentAt,
			),
	);
	const takenUp = atSoundNodes.filter(
		(record) =>
			record.isNamed && serversOf(record, events) >= minimumVersionServers,
	);
	const fresh = atSoundNodes.filter(({continues}) => continues === undefined);
	const shareOf = (all: readonly CallerRecord[]) =>
		all.filter((record) => eventsIn(record).length > 0).length / all.length;
	return takenUp.length < minimumTakenUp ||
		shareOf(takenUp) >= shareOf(fresh) / 2
		? []
		: [
				{
					promise: 'continuation',
					detail: `${shareOf(takenUp)} of ${takenUp.length} go on, ${shareOf(fresh)} of ${fresh.length} begin`,
				},
			];
};

// Number of servers that ran requests with the version of a stream shortly before it was taken up.
const serversOf = (
	record: CallerRecord,
	events: readonly ServerEvent[],
): number => {
	const [version] = versionsOf(firstOf(record));
	return new Set(
		events
			.filter(
				({at, isRun, softwareVersion}) =>
					isRun &&
					softwareVersion === version &&
					at > record.sentAt - versionSpanMs &&
					at < record.sentAt + versionSpanMs,
			)
			.map(({server}) => server),
	).size;
};

// A node has to follow the statements in the answers that it received, until the node is disturbed.
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
		const isExempt = (from: number, until: number) =>
			disturbances.some(
				(each) =>
					each.node === node &&
					each.from <= until &&
					each.until + settleMs >= from,
			);
		for (const [index, statement] of ofPair.entries()) {
			const later = ofPair.slice(index + 1);
			found.push(
				...checkLeaving(pair, statement, later, isExempt),
				...checkBackoff(pair, statement, later, isExempt),
			);
		}
	}

	return found;
};

type Exemption = (from: number, until: number) => boolean;

const checkLeaving = (
	pair: string,
	statement: ServerEvent,
	later: readonly ServerEvent[],
	isExempt: Exemption,
): readonly Violation[] => {
	// A restarted server is another one, which may announce its shutdown anew.
	const late = statement.isLeaving
		? later.find(
				({at, incarnation}) =>
					incarnation === statement.incarnation &&
					at > statement.at + drainMs + inFlightMs,
			)
		: undefined;
	return !late?.isLeaving || isExempt(statement.at, late.at)
		? []
		: [
				{
					promise: 'leaving',
					detail: `${pair}: ${late.requestId} ${Math.round(late.at - statement.at)} ms after`,
				},
			];
};

const checkBackoff = (
	pair: string,
	statement: ServerEvent,
	later: readonly ServerEvent[],
	isExempt: Exemption,
): readonly Violation[] => {
	const {at, backoffMs} = statement;
	if (backoffMs === undefined || isExempt(at, at + backoffMs)) {
		return [];
	}

	const refusedEarly = later.filter(
		(each) =>
			each.backoffMs !== undefined &&
			each.at > at + inFlightMs &&
			each.at < at + backoffMs,
	);
	return refusedEarly.length <= allowedPerBackoff
		? []
		: [
				{
					promise: 'backoff',
					detail: `${pair}: ${refusedEarly.length} in ${backoffMs} ms`,
				},
			];
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

// The limit applies to all nodes together, except nodes that were disturbed after the limit was first stated.
const checkLimit = (
	span: LimitedSpan,
	disturbances: readonly Disturbance[],
): readonly Violation[] => {
	const [{at: statedAt, server, limit = 0}] = span;
	const times = span
		.filter(
			({at, requestId}) =>
				at > statedAt + limitAdoptionMs &&
				disturbances.every(
					({node, from, until}) =>
						node !== nodeOfRequest(requestId) ||
						from > at ||
						until + settleMs < statedAt,
				),
		)
		.map(({at}) => at);
	const maximum = maximumInWindow(times, limitWindowMs);
	const allowed = 1.5 * limit * (limitWindowMs / 1000) + 5;
	return maximum <= allowed
		? []
		: [
				{
					promise: 'limit',
					detail: `${server}: ${maximum} in ${limitWindowMs} ms, allowed ${allowed}`,
				},
			];
};

type LimitedSpan = readonly [ServerEvent, ...ServerEvent[]];

// Returns the unbroken sequences of requests whose answers state a limit.
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

// Servers' work for callers that disconnected has to end within `cancellationMs`, except for at most a quarter of it.
const checkCancellation = ({
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
							each.from > leftAt + cancellationMs ||
							each.until + settleMs < leftAt,
					),
			)
			.map(({requestId, leftAt}) => [requestId, leftAt]),
	);
	const abandonedWork = events.filter(({requestId}) => left.has(requestId));
	const late = abandonedWork.filter(
		({requestId, endedAt}) => endedAt > left.get(requestId)! + cancellationMs,
	);
	return late.length > Math.max(allowedUncancelled, abandonedWork.length / 4)
		? [
				{
					promise: 'cancellation',
					detail: `${late.length} of ${abandonedWork.length} not cancelled, such as ${late[0]!.requestId}`,
				},
			]
		: [];
};

const addedRoutePattern = /^\/added\/(?<version>\d+)\//v;

// No node and no registry has a route if the registry has lost it and all nodes were killed before they could read it again.
const isLostEverywhere = (
	{path, sentAt}: CallerRecord,
	{lostRoutes, wholeLosses}: SoakHistory,
): boolean => {
	const version = Number(addedRoutePattern.exec(path)?.groups?.version);
	return lostRoutes.some(
		({awayAt, until, restoredVersion}) =>
			version > restoredVersion &&
			sentAt < until &&
			wholeLosses.some((at) => at > awayAt - applyMs && at < sentAt),
	);
};

// A node must not answer 404 for an added route that has to be in force by then.
const checkRoutes = (history: SoakHistory): readonly Violation[] => {
	const {records, disturbances} = history;
	return records
		.filter(
			(record) =>
				record.kind === 'added' &&
				record.status === 404 &&
				!isLostEverywhere(record, history) &&
				disturbances.every(
					(each) =>
						each.node !== record.node ||
						each.from > record.sentAt ||
						each.until + applyMs < record.sentAt,
				),
		)
		.map(({requestId, path}) => ({
			promise: 'configuration',
			detail: `${requestId}: 404 for ${path}`,
		}));
};

const checkRecovery = ({
	records,
	recoveredAt,
}: SoakHistory): readonly Violation[] => {
	const afterRecovery = records.filter(
		({sentAt, leftAt}) => sentAt >= recoveredAt && leftAt === Infinity,
	);
	const served = afterRecovery.filter(
		({status, isWhole}) => status === 200 && isWhole,
	);
	return served.length >= afterRecovery.length * minimumServedFraction
		? []
		: [
				{
					promise: 'recovery',
					detail: `${served.length} of ${afterRecovery.length} served`,
				},
			];
};
