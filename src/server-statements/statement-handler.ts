import type {LimitStatement} from '../backend-limits/index.ts';
import {readStatements} from './read-statements.ts';
import type {ServerStatements, StatementFault} from './server-statements.ts';
import type {AnswerSource, StatedAnswer} from './stated-answer.ts';
import type {StatementHeaders} from './statement-headers.ts';

/**
Takes in what backend servers state about themselves. Every answer of a server passes through here.
*/
export type StatementHandler = {
	/**
	@returns What the answer states, for what concerns its own request only.
	*/
	handle(answer: StatedAnswer): ServerStatements;
};

/**
A server, and how its statement was received.
*/
export type StatementOrigin = Pick<
	StatedAnswer,
	'server' | 'incarnationId' | 'sentAt' | 'receivedAt'
> & {
	/**
	A kind of answer, or another node that told of one.
	*/
	readonly source: AnswerSource | 'node';
};

/**
Who acts on the statements.
*/
export type StatementHandlerOptions = {
	readonly headers: StatementHeaders;
	readonly onLeaving: (origin: StatementOrigin) => void;
	readonly onBackoff: (origin: StatementOrigin, restMs: number) => void;
	readonly onLimit: (
		life: string,
		statement: LimitStatement,
		source: AnswerSource,
	) => void;
	readonly onFault: (server: string, fault: StatementFault) => void;
};

/**
Builds an intake.
*/
export const createStatementHandler = ({
	headers,
	onLeaving,
	onBackoff,
	onLimit,
	onFault,
}: StatementHandlerOptions): StatementHandler => ({
	handle(answer) {
		const statements = readStatements(headers, answer, (fault) => {
			onFault(answer.server, fault);
		});
		const {isLeaving, backoffMs, limit} = statements;
		if (isLeaving) {
			onLeaving(answer);
		}

		if (backoffMs !== undefined && backoffMs > 0) {
			onBackoff(answer, backoffMs);
		}

		if (limit !== undefined) {
			onLimit(answer.incarnationId, limit, answer.source);
		}

		return statements;
	},
});
