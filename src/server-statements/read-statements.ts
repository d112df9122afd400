import type {Result} from 'true-myth';
import {parseStatedLoad} from '../backends/stated-load.ts';
import {readLimitStatement} from '../backend-limits/index.ts';
import {parseCold, parseLeaving, parseRetryAfter} from './parse-statements.ts';
import {
	noStatements,
	type ServerStatements,
	type StatementFault,
} from './server-statements.ts';
import type {AnswerSource, StatedAnswer} from './stated-answer.ts';
import {retryAfterHeader, type StatementHeaders} from './statement-headers.ts';

const unavailable = 503;
const misdirected = 421;

/**
Reads everything that a backend server states about itself in the head of an answer.

An answer with status 421 is another server's and states nothing. A surplus answer is of unknown age, so only statements that
do not depend on its age are read; a relayed one is subject to the relaying node's limits, load and rests.
*/
export const readStatements = (
	names: StatementHeaders,
	answer: StatedAnswer,
	onFault: (fault: StatementFault) => void,
): ServerStatements => {
	if (answer.status === misdirected) {
		return noStatements;
	}

	const read = <Value>(
		kind: StatementFault['kind'],
		name: string | undefined,
		parse: (text: string) => Result<Value, string>,
	): Value | undefined => {
		const text = name === undefined ? undefined : answer.header(name);
		const parsed = text === undefined ? undefined : parse(text);
		if (parsed?.isErr) {
			onFault({kind, reason: parsed.error});
		}

		return parsed?.isOk ? parsed.value : undefined;
	};

	const isLeaving = read('leaving', names.leaving, parseLeaving) ?? false;
	const {isDated, isDirect} = traits[answer.source];
	const backoffMs =
		isDirect && answer.status === unavailable
			? read('rest', retryAfterHeader, parseRetryAfter)
			: undefined;
	return isDated
		? {
				isLeaving,
				backoffMs,
				limit: limitOf(names, answer, onFault),
				load: read('load', names.load, parseStatedLoad),
				coldMs: read('cold', names.coldMs, parseCold),
			}
		: {...noStatements, isLeaving, backoffMs};
};

type SourceTraits = {
	/**
	Whether the answer was made after its request was sent.
	*/
	readonly isDated: boolean;
	/**
	Whether the server sent it to this node.
	*/
	readonly isDirect: boolean;
};

const direct: SourceTraits = {isDated: true, isDirect: true};

const traits: Readonly<Record<AnswerSource, SourceTraits>> = {
	answer: direct,
	refusal: direct,
	'surplus answer': {isDated: false, isDirect: true},
	'health check': direct,
	'cache read': direct,
	'load report': direct,
	'relayed answer': {isDated: false, isDirect: false},
};

// Without the header, only the answer of a server at work ends a limit.
const limitOf = (
	{limit}: StatementHeaders,
	{header, isSigned, sentAt, receivedAt}: StatedAnswer,
	onFault: (fault: StatementFault) => void,
): ServerStatements['limit'] => {
	const text = header(limit);
	if (text === undefined && !isSigned) {
		return undefined;
	}

	const statement = readLimitStatement(text, sentAt, receivedAt);
	if (statement.isErr) {
		onFault({kind: 'limit', reason: `limit "${text}": ${statement.error}`});
		return undefined;
	}

	return statement.value;
};
