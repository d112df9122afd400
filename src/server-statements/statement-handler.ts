import type {LimitStatement} from '../backend-limits/index.ts';
import {readStatements} from './read-statements.ts';
import type {
	RefusalLimitStatement,
	ServerStatements,
	StatementFault,
} from './server-statements.ts';
import type {AnswerSource, StatedAnswer} from './stated-answer.ts';
import type {StatementHeaders} from './statement-headers.ts';

/**
Processes the statements that backend servers make about themselves. Every response of a server passes through it.
*/
export type StatementHandler = {
	/**
	Reads the statements in a response and calls the handlers.

	@returns All statements of the response, for effects that concern only its own request.
	*/
	handle(answer: StatedAnswer): ServerStatements;
};

/**
A server, and the way in which its statement was received.
*/
export type StatementOrigin = Pick<
	StatedAnswer,
	'server' | 'incarnationId' | 'sentAt' | 'receivedAt'
> & {
	/**
	Kind of the response, or `node` if another node forwarded the statement.
	*/
	readonly source: AnswerSource | 'node';
};

/**
Options of `createStatementHandler`.
*/
export type StatementHandlerOptions = {
	readonly headers: StatementHeaders;
	readonly onLeaving: (origin: StatementOrigin) => void;
	readonly onBackoff: (origin: StatementOrigin, backoffMs: number) => void;
	readonly onLimit: (
		incarnationId: string,
		statement: LimitStatement,
		source: AnswerSource,
	) => void;
	readonly onRefusalLimit: (
		origin: StatementOrigin,
		statement: RefusalLimitStatement,
	) => void;
	readonly onFault: (server: string, fault: StatementFault) => void;
};

/**
Creates a statement handler.
*/
export const createStatementHandler = ({
	headers,
	onLeaving,
	onBackoff,
	onLimit,
	onRefusalLimit,
	onFault,
}: StatementHandlerOptions): StatementHandler => ({
	handle(answer) {
		const statements = readStatements(headers, answer, (fault) => {
			onFault(answer.server, fault);
		});
		const {isLeaving, backoffMs, limit, refusalLimit} = statements;
		if (isLeaving) {
			onLeaving(answer);
		}

		if (backoffMs !== undefined && backoffMs > 0) {
			onBackoff(answer, backoffMs);
		}

		if (limit !== undefined) {
			onLimit(answer.incarnationId, limit, answer.source);
		}

		if (refusalLimit !== undefined) {
			onRefusalLimit(answer, refusalLimit);
		}

		return statements;
	},
});
