import type {Result} from 'true-myth';
import {parseStatedLoad} from '../backends/stated-load.ts';
import {readLimitStatement} from '../backend-limits/index.ts';
import {
	parseCold,
	parseLeaving,
	parseRefusalLimit,
	parseRetryAfter,
} from './parse-statements.ts';
import {
	noStatements,
	type RefusalLimitStatement,
	type ServerStatements,
	type StatementFault,
} from './server-statements.ts';
import type {AnswerSource, StatedAnswer} from './stated-answer.ts';
import {retryAfterHeader, type StatementHeaders} from './statement-headers.ts';

const unavailable = 503;
const misdirected = 421;

/**
Reads the statements that a backend server makes about itself in the headers of a response.

A response with status 421 comes from a different server and states nothing. The age of a surplus answer is unknown, so only
statements that do not depend on the age are read. In a relayed answer, limit, load and backoff apply to the relaying node.
*/
export const readStatements = (
	names: StatementHeaders,
	answer: StatedAnswer,
	onFault: (fault: StatementFault) => void,
): ServerStatements => {
	if (answer.status === misdirected) {
		return noStatements;
	}

	const read: StatementReader = (kind, name, parse) => {
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
				refusalLimit: refusalLimitOf(names, answer, read),
				load: read('load', names.load, parseStatedLoad),
				coldMs: read('cold', names.coldMs, parseCold),
			}
		: {...noStatements, isLeaving, backoffMs};
};

type StatementReader = <Value>(
	kind: StatementFault['kind'],
	name: string | undefined,
	parse: (text: string) => Result<Value, string>,
) => Value | undefined;

// If the header is missing, only a response that proves that the server works ends an earlier statement.
const refusalLimitOf = (
	{refusalLimit}: StatementHeaders,
	{header, isSigned}: StatedAnswer,
	read: StatementReader,
): RefusalLimitStatement | undefined => {
	if (header(refusalLimit) === undefined) {
		return isSigned ? {perSecond: undefined} : undefined;
	}

	const perSecond = read('refusal-limit', refusalLimit, parseRefusalLimit);
	return perSecond === undefined ? undefined : {perSecond};
};

type SourceTraits = {
	/**
	Whether the response was created after its request was sent.
	*/
	readonly isDated: boolean;
	/**
	Whether the server sent the response to this node.
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

// If the header is missing, only a response that proves that the server works ends an earlier limit.
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
