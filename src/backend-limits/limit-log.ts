import type {AnswerSource} from '../server-statements/index.ts';
import type {Logger} from '../logging/index.ts';

/**
A change of what a node believes of a server's limit.
*/
export type LimitChange = {
	/**
	Names the life of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests a second over all nodes; undefined for no limit.
	*/
	readonly before: number | undefined;
	readonly perSecond: number | undefined;
	/**
	The kind of answer that stated it, or another node.
	*/
	readonly source: AnswerSource | 'node';
	/**
	The other node.
	*/
	readonly from?: string;
	/**
	Milliseconds since the server may have said so at the earliest.
	*/
	readonly ageMs: number;
};

/**
Writes down when servers name limits.
*/
export type LimitLog = {
	changed(
		change: LimitChange,
		inputs: Readonly<Record<string, number>>,
		now: number,
	): void;
};

/**
Lines about one server are written so far apart at the least, in milliseconds: a server may name another limit in each
answer.
*/
export const limitLogIntervalMs = 1000;

// Servers that are remembered for that; the oldest gives way.
const maximumServers = 500;

/**
Builds a log that has written nothing.
*/
export const createLimitLog = (logger: Logger): LimitLog => {
	const writtenAt = new Map<string, number>();

	return {
		changed({incarnationId, ageMs, ...change}, inputs, now) {
			const isNews =
				change.before === undefined || change.perSecond === undefined;
			if (
				!isNews &&
				now - (writtenAt.get(incarnationId) ?? -Infinity) < limitLogIntervalMs
			) {
				return;
			}

			writtenAt.delete(incarnationId);
			writtenAt.set(incarnationId, now);
			if (writtenAt.size > maximumServers) {
				writtenAt.delete(writtenAt.keys().next().value!);
			}

			logger.info(
				{server: incarnationId, ...change, ageMs: Math.round(ageMs), ...inputs},
				'limit of a backend server changed',
			);
		},
	};
};
