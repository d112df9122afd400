import type {BackendServer} from '../configuration/index.ts';
import {
	attemptHeader,
	notRunHeader,
	type EngineHead,
} from '../engines/index.ts';
import type {Fleet} from '../fleet/index.ts';
import type {
	AnswerSource,
	StatementHandler,
} from '../server-statements/index.ts';
import {engineIncarnationId} from './request-quarantine.ts';

type Engine = Pick<BackendServer, 'id'>;

/**
Takes in what engines state in the heads of their answers.
*/
export type RequestStatements = {
	/**
	An engine answered an attempt.
	*/
	recordAnswer(
		server: Engine,
		attemptId: string,
		head: EngineHead,
		sentAt: number,
	): void;
	recordLoadReport(server: Engine, head: EngineHead, sentAt: number): void;
};

/**
Builds what attributes heads to the present lives of engines.
*/
export const createRequestStatements = (
	intake: StatementHandler,
	fleet: Pick<Fleet, 'incarnationOf'>,
	clock: () => number,
): RequestStatements => {
	const heard = (
		{id}: Engine,
		head: EngineHead,
		sentAt: number,
		source: AnswerSource,
	) => {
		intake.handle({
			...head,
			server: id,
			incarnationId: engineIncarnationId(id, fleet.incarnationOf(id)),
			source,
			sentAt,
			receivedAt: clock(),
			// A failure without a limit does not end one: only a server at work shows that.
			isSigned: source === 'answer',
		});
	};

	return {
		recordAnswer(server, attemptId, head, sentAt) {
			heard(server, head, sentAt, sourceOf(attemptId, head));
		},
		recordLoadReport(server, head, sentAt) {
			heard(server, head, sentAt, 'load report');
		},
	};
};

const sourceOf = (attemptId: string, {header}: EngineHead): AnswerSource => {
	if (header(notRunHeader) !== undefined) {
		return 'refusal';
	}

	return header(attemptHeader) === attemptId ? 'answer' : 'surplus answer';
};
