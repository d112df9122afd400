import type {BackendLimits} from '../backend-limits/index.ts';
import {
	leavingHeader,
	limitHeader,
	refusalLimitHeader,
} from '../engines/index.ts';
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
import {maximumLeavingIncarnations} from '../registry/index.ts';
import {createBoundedSet} from '../shared/index.ts';
import type {NodeCore} from './node-core.ts';

/**
The handler for statements in the response headers of engines, and the announcements that it has recorded.
*/
export type NodeStatements = {
	readonly statements: RequestStatements;
	readonly announcements: ServerAnnouncements;
};

/**
Creates the statement handling of one node; `onLeaving` is called with the server and the incarnation that announced its
shutdown.
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

	const recordBackoff = (origin: StatementOrigin, backoffMs: number) => {
		const {server, incarnationId} = origin;
		announcements.recordBackoff(origin, backoffMs);
		// The answer may come from a process that has ended in the meantime.
		if (
			engineIncarnationId(server, fleet.incarnationOf(server)) !== incarnationId
		) {
			return;
		}

		const now = clock();
		const until = now + announcements.backoffs.remainingMs(incarnationId, now);
		fleet.handle({kind: 'resting', backendServer: server, until}, now);
	};

	const statedRefusalLimits = createBoundedSet<string>(
		maximumLeavingIncarnations,
	);
	const statementHandler = createStatementHandler({
		headers: {
			leaving: leavingHeader,
			limit: limitHeader,
			refusalLimit: refusalLimitHeader,
			// Engines report these values in their load reports.
			load: undefined,
			coldMs: undefined,
		},
		onLeaving: announcements.recordShutdown,
		onBackoff: recordBackoff,
		onLimit: backendLimits.recordStatement,
		onRefusalLimit({server, source}, {perSecond}) {
			if (perSecond === undefined || statedRefusalLimits.has(server)) {
				return;
			}

			statedRefusalLimits.add(server);
			logger.warn(
				{server, source, perSecond},
				'backend server states a limit on refusals, which this interface does not keep',
			);
		},
		onFault(server, {kind, reason}) {
			logger.debug(
				{server, kind, reason},
				'statement of a backend server ignored',
			);
		},
	});

	return {
		statements: createRequestStatements(statementHandler, fleet, clock),
		announcements,
	};
};

const incarnationOf = (server: string, incarnationId: string): string => {
	const incarnation = incarnationId.slice(server.length + 1);
	return incarnation === '' ? unnamedIncarnation : incarnation;
};
