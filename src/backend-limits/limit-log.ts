import type {AnswerSource} from '../server-statements/index.ts';
import type {Logger} from '../logging/index.ts';

/**
Change of a server's limit as known to this node.
*/
export type LimitChange = {
	/**
	Identifies the incarnation of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests per second of all nodes; undefined for no limit.
	*/
	readonly before: number | undefined;
	readonly perSecond: number | undefined;
	/**
	Kind of response that stated the limit, or `node` if another node reported it.
	*/
	readonly source: AnswerSource | 'node';
	/**
	Id of the other node.
	*/
	readonly from?: string;
	/**
	Milliseconds since the earliest time at which the server may have made the statement.
	*/
	readonly ageMs: number;
};

/**
Logs changes of limits.
*/
export type LimitLog = {
	changed(
		change: LimitChange,
		inputs: Readonly<Record<string, number>>,
		now: number,
	): void;
};

/**
Minimum interval between two log lines about one server, in milliseconds: a server may state a different limit in each
response.
*/
export const limitLogIntervalMs = 1000;

// Maximum number of servers whose last log time is retained; the oldest is evicted first.
const maximumServers = 500;

/**
Creates a log without lines.
*/
export const createLimitLog = (logger: Logger): LimitLog => {
	const loggedAt = new Map<string, number>();

	return {
		changed({incarnationId, ageMs, ...change}, inputs, now) {
			const isStartOrEnd =
				change.before === undefined || change.perSecond === undefined;
			if (
				!isStartOrEnd &&
				now - (loggedAt.get(incarnationId) ?? -Infinity) < limitLogIntervalMs
			) {
				return;
			}

			loggedAt.delete(incarnationId);
			loggedAt.set(incarnationId, now);
			if (loggedAt.size > maximumServers) {
				loggedAt.delete(loggedAt.keys().next().value!);
			}

			logger.info(
				{server: incarnationId, ...change, ageMs: Math.round(ageMs), ...inputs},
				'limit of a backend server changed',
			);
		},
	};
};
