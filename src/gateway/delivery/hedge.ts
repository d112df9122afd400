import type {Buffer} from 'node:buffer';
import {createByteCollector} from '../../shared/index.ts';
import {
	callerPatienceMs,
	type BackendAttemptEnd,
	type UpstreamHead,
	type UpstreamListener,
} from '../../backends/index.ts';
import type {Outcome} from '../../errors/index.ts';
import {incarnationIdOf} from '../../registry/index.ts';
import {bodyFramingOf, judgeBodyEnd} from '../../response-bodies/index.ts';
import {callTarget, type CallTarget} from './call-target.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	hasAttemptLeft,
	setCurrentCall,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {dropHedge, endCurrentCall} from './end-run.ts';
import {
	allowNodeAgain,
	canRunAgain,
	forgetTry,
	raiseOutcome,
	reportCallFailure,
	hasTakenRetry,
} from './fail-call.ts';
import {decodeHopResult, decodeSoftwareVersion} from './hop.ts';
import {judgeHead} from './judge-head.ts';
import {createAnswerListener} from './pass-answer.ts';
import {recordStatements} from './record-statements.ts';
import {unsuitableRegions} from './send-run.ts';

/**
Sends a second call for each request that has been without a byte for as long as callers wait, if its backend server is suspect or
was replaced, and another server takes the request at once. The first call stays open until the second one really answers.
*/
export const hedgeSilentRuns = (
	context: DeliveryContext,
	now: number,
): void => {
	for (const run of context.runs) {
		if (isSilent(context, run, now) && canHedge(context, run, now)) {
			tryHedge(context, run, now);
		}
	}
};

// A server that is believed to respond may take long for one response.
const isSilent = (
	{fleet}: DeliveryContext,
	{current, hedge}: DeliveryRun,
	now: number,
): boolean => {
	const server = current?.server;
	if (
		server === undefined ||
		hedge !== undefined ||
		silentMsOf(current!, now) < callerPatienceMs
	) {
		return false;
	}

	const entry = fleet.server(server);
	const isReplaced =
		entry !== undefined && incarnationIdOf(entry) !== current!.incarnationId;
	return isReplaced || fleet.suspicionOf(server) !== undefined;
};

const silentMsOf = ({lastByteAt, sentAt}: CurrentCall, now: number): number =>
	now - (lastByteAt ?? sentAt);

const canHedge = (
	context: DeliveryContext,
	run: DeliveryRun,
	now: number,
): boolean =>
	hasAttemptLeft(run, now) &&
	context.quarantineStatus(run.exchange).kind === 'clear' &&
	canRunAgain(context, run);

const tryHedge = (
	context: DeliveryContext,
	run: DeliveryRun,
	now: number,
): void => {
	const placement = {
		...run.placement,
		isSecondCall: true,
		...(run.origin && {softwareVersion: run.origin.softwareVersion}),
	};
	const choice = context.choose(
		run.exchange,
		{regions: unsuitableRegions(context, run), members: run.triedNodes},
		placement,
		now,
	);
	const isAccepted = choice.kind === 'server' || choice.kind === 'peer';
	if (!isAccepted || !hasTakenRetry(context, run)) {
		return;
	}

	run.steps.push('second call');
	context.onHedge(run.exchange, {
		kind: 'sent',
		server: run.current!.server!,
		silentMs: silentMsOf(run.current!, now),
		target: targetOf(choice),
	});
	callTarget(context, run, choice, {
		placement,
		begin: (call) => createHedgeListener(context, run, call),
	});
};

const targetOf = (target: CallTarget): string =>
	target.kind === 'server' ? target.id : target.member.id;

/**
Creates the listener of a second call. It keeps what arrives until the call has really answered, with the first event of a stream
or a whole response, and then passes it on as the response to the request.
*/
export const createHedgeListener = (
	context: DeliveryContext,
	run: DeliveryRun,
	call: CurrentCall,
): UpstreamListener => {
	const collector = createByteCollector();
	let head: UpstreamHead | undefined;
	let verdict: HedgeVerdict | undefined;
	let adopted: UpstreamListener | undefined;

	const adopt = () => {
		run.hedge = undefined;
		run.steps.push('second call answers');
		endCurrentCall(context, run, 'abandoned', true);
		context.onHedge(run.exchange, {kind: 'adopted'});
		setCurrentCall(run, call);
		// The answer listener keeps the chunks from here on.
		call.kept?.release();
		adopted = createAnswerListener(context, run, call, true);
		if (head) {
			adopted.onHead(head);
		}

		if (collector.size() > 0) {
			adopted.onData(collector.bytes());
		}
	};

	const hedge = {call, adopt};
	run.hedge = hedge;
	const isOpen = () => run.hedge === hedge;

	return {
		onHead(received) {
			recordStatements(context, run, call, received);
			call.lastByteAt = context.clock();
			if (adopted) {
				adopted.onHead(received);
				return;
			}

			if (!isOpen()) {
				return;
			}

			call.attempt?.recordActivity(context.clock());
			head = received;
			verdict = judgeHedgeHead(context, run, call, received);
			if (verdict.kind !== 'fault') {
				call.kept = context.answerBuffer.keep(() => {
					dropHedge(context, run, 'abandoned');
				});
				return;
			}

			recordTries(run, call, received);
			raiseOutcome(run, verdict.outcome);
			allowNodeAgain(run, call);
			dropHedge(context, run, verdict.end);
		},
		onData(chunk) {
			if (adopted) {
				return adopted.onData(chunk);
			}

			collector.add(chunk);
			call.kept?.add(chunk.length);
			if (verdict?.kind === 'stream' && isOpen()) {
				adopt();
			}

			return true;
		},
		onEnd() {
			if (head && isOpen()) {
				const framing = bodyFramingOf(run.exchange.method, head);
				const end = judgeBodyEnd({framing, events: undefined});
				if (end.kind === 'broken') {
					failHedge(context, run);
				} else {
					adopt();
				}
			}

			adopted?.onEnd();
		},
		onFailure(failure) {
			if (adopted) {
				adopted.onFailure(failure);
				return;
			}

			if (!isOpen()) {
				return;
			}

			reportCallFailure(context, run, call, failure);
			if (failure.wasSent) {
				failHedge(context, run);
				return;
			}

			if (call.server !== undefined) {
				forgetTry(run, call.server);
			}

			dropHedge(context, run, 'abandoned');
		},
	};
};

const failHedge = (context: DeliveryContext, run: DeliveryRun): void => {
	raiseOutcome(run, 'unknown');
	dropHedge(context, run, 'failed');
};

// Counts the servers to which another node has sent the second call.
const recordTries = (
	run: DeliveryRun,
	{member}: CurrentCall,
	{header}: UpstreamHead,
): void => {
	for (const server of member ? decodeHopResult(header).tried : []) {
		run.excluded.add(server);
		run.triedServers.push(server);
	}
};

type HedgeVerdict =
	| {readonly kind: 'stream' | 'whole'}
	| {
			readonly kind: 'fault';
			readonly outcome: Outcome;
			readonly end: BackendAttemptEnd;
	  };

// The first call still runs, so no fault of the second one is passed on to the caller.
const judgeHedgeHead = (
	context: DeliveryContext,
	run: DeliveryRun,
	call: CurrentCall,
	head: UpstreamHead,
): HedgeVerdict => {
	const hop = call.member ? decodeHopResult(head.header) : undefined;
	if (hop?.kind === 'refused') {
		return {kind: 'fault', outcome: hop.outcome, end: 'abandoned'};
	}

	const softwareVersion = call.member
		? decodeSoftwareVersion(head.header)
		: call.softwareVersion;
	const isOtherVersion =
		run.origin !== undefined &&
		softwareVersion !== undefined &&
		softwareVersion !== run.origin.softwareVersion;
	if (isOtherVersion) {
		return {kind: 'fault', outcome: 'ran', end: 'failed'};
	}

	const verdict = judgeHead(head, run.exchange, context.headers, {
		canRetry: true,
		hasBegun: run.hasBegun,
	});
	return verdict.kind === 'fault'
		? {kind: 'fault', ...verdict.fault}
		: {kind: verdict.kind};
};
