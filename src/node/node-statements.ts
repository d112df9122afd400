import type {BackendLimits} from '../backend-limits/index.ts';
import {leavingHeader, limitHeader} from '../engines/index.ts';
import {unnamedIncarnation} from '../fleet/index.ts';
import {
	createRequestStatements,
	engineIncarnationId,
	type RequestStatements,
} from '../requests/index.ts';
import {
	createServerAnnouncements,
	createStatementHandler,
	type ServerAnnouncements,
	type StatementOrigin,
} from '../server-statements/index.ts';
import type {NodeCore} from './node-core.ts';

/**
What a node hears from engines in the heads of their answers, and what it believes by it.
*/
export type NodeStatements = {
	readonly statements: RequestStatements;
	readonly announcements: ServerAnnouncements;
};

/**
Builds the statements of one node; `onLeaving` is told which process of an engine announced its shutdown.
*/
export const createNodeStatements = (
	{context, random}: NodeCore,
	backendLimits: Pick<BackendLimits, 'recordStatement'>,
	onLeaving: (server: string, incarnation: string) => void,
): NodeStatements => {
	const {clock, fleet, logger} = context;
	const announcements = createServerAnnouncements({
		logger,
		randomFraction: random.fraction,
		onLeaving({server, incarnationId}) {
			onLeaving(server, incarnationOf(server, incarnationId));
		},
	});

	const rest = (origin: StatementOrigin, restMs: number) => {
		const {server, incarnationId} = origin;
		announcements.recordBackoff(origin, restMs);
		// The answer may be from a process that has ended since.
		if (
			engineIncarnationId(server, fleet.incarnationOf(server)) !== incarnationId
		) {
			return;
		}

		const now = clock();
		const until = now + announcements.backoffs.remainingMs(incarnationId, now);
		fleet.handle({kind: 'resting', backendServer: server, until}, now);
	};

	const intake = createStatementHandler({
		headers: {
			leaving: leavingHeader,
			limit: limitHeader,
			// Engines state these in their load reports.
			load: undefined,
			coldMs: undefined,
		},
		onLeaving: announcements.recordShutdown,
		onBackoff: rest,
		onLimit: backendLimits.recordStatement,
		onFault(server, {kind, reason}) {
			logger.debug(
				{server, kind, reason},
				'statement of a backend server ignored',
			);
		},
	});

	return {
		statements: createRequestStatements(intake, fleet, clock),
		announcements,
	};
};

const incarnationOf = (server: string, incarnationId: string): string => {
	const incarnation = incarnationId.slice(server.length + 1);
	return incarnation === '' ? unnamedIncarnation : incarnation;
};
