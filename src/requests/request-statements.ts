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
Handles the statements that engines make in their response headers.
*/
export type RequestStatements = {
	/**
	Handles the response head of an attempt.
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
Creates the handler; it attributes each response head to the current incarnation of the engine.
*/
export const createRequestStatements = (
	handler: StatementHandler,
	fleet: Pick<Fleet, 'incarnationOf'>,
	clock: () => number,
): RequestStatements => {
	const handle = (
		{id}: Engine,
		head: EngineHead,
		sentAt: number,
		source: AnswerSource,
	) => {
		handler.handle({
			...head,
			server: id,
			incarnationId: engineIncarnationId(id, fleet.incarnationOf(id)),
			source,
			sentAt,
			receivedAt: clock(),
			// Only the answer to an attempt proves that the server works, so only there does a missing limit end an earlier one.
			isSigned: source === 'answer',
		});
	};

	return {
		recordAnswer(server, attemptId, head, sentAt) {
			handle(server, head, sentAt, sourceOf(attemptId, head));
		},
		recordLoadReport(server, head, sentAt) {
			handle(server, head, sentAt, 'load report');
		},
	};
};

const sourceOf = (attemptId: string, {header}: EngineHead): AnswerSource => {
	if (header(notRunHeader) !== undefined) {
		return 'refusal';
	}

	return header(attemptHeader) === attemptId ? 'answer' : 'surplus answer';
};
