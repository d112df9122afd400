import type {BackendLimits} from '../backend-limits/index.ts';
import {leavingHeader, limitHeader} from '../engines/index.ts';
import {unnamedIncarnation} from '../fleet/index.ts';
import {
	createRequestStatements,
	engineLife,
	type RequestStatements,
} from '../requests/index.ts';
import {
	createServerStandings,
	createStatementIntake,
	type ServerStandings,
	type StatementOrigin,
} from '../server-statements/index.ts';
import type {NodeCore} from './node-core.ts';

/**
What a node hears from engines in the heads of their answers, and what it believes by it.
*/
export type NodeStatements = {
	readonly statements: RequestStatements;
	readonly standings: ServerStandings;
};

/**
Builds the statements of one node; `onLeaving` is told which process of an engine announced its shutdown.
*/
export const createNodeStatements = (
	{context, random}: NodeCore,
	backendLimits: Pick<BackendLimits, 'stated'>,
	onLeaving: (server: string, incarnation: string) => void,
): NodeStatements => {
	const {clock, fleet, logger} = context;
	const standings = createServerStandings({
		logger,
		draw: random.fraction,
		onLeaving({server, life}) {
			onLeaving(server, incarnationOf(server, life));
		},
	});

	const rest = (origin: StatementOrigin, restMs: number) => {
		const {server, life} = origin;
		standings.asksForRest(origin, restMs);
		// The answer may be from a process that has ended since.
		if (engineLife(server, fleet.incarnationOf(server)) !== life) {
			return;
		}

		const now = clock();
		const until = now + standings.rests.leftMs(life, now);
		fleet.handle({kind: 'resting', backendServer: server, until}, now);
	};

	const intake = createStatementIntake({
		headers: {
			leaving: leavingHeader,
			limit: limitHeader,
			// Engines state these in their load reports.
			load: undefined,
			coldMs: undefined,
		},
		onLeaving: standings.leaves,
		onRest: rest,
		onLimit: backendLimits.stated,
		onFault(server, {kind, reason}) {
			logger.debug(
				{server, kind, reason},
				'statement of a backend server ignored',
			);
		},
	});

	return {
		statements: createRequestStatements(intake, fleet, clock),
		standings,
	};
};

const incarnationOf = (server: string, life: string): string => {
	const incarnation = life.slice(server.length + 1);
	return incarnation === '' ? unnamedIncarnation : incarnation;
};
