import type {
	BackendLimitMessage,
	ToldLimit,
} from '../peers/backend-limit-messages.ts';
import type {NodeOrder} from '../shared/index.ts';
import type {LimitEntries, LimitEntry} from './limit-entries.ts';
import {lowestStatement} from './limit-statement.ts';

/**
Tells other nodes of limits: at once when this node hears of a change from the server itself, and again and again while
what is known is fresh, for those that missed it or have started since.
*/
export type LimitTelling = {
	/**
	Called at each tick.
	*/
	tick(now: number): void;
};

/**
What telling is built from.
*/
export type LimitTellingOptions = {
	readonly self: string;
	readonly entries: LimitEntries;
	readonly order: NodeOrder;
	/**
	Tells all other nodes that send to the same servers.
	*/
	readonly tellPeers: (message: BackendLimitMessage) => void;
};

/**
How long after anybody told of a limit it is told again, in milliseconds.
*/
export const remindLimitMs = 1000;

/**
So much later the next node in the order tells of it, in milliseconds, when the one before it has not: long enough for the
word of that one to come.
*/
export const remindStepMs = 200;

// Nodes that come later in the order wait as long as this one, or the last would wait for ever.
const lastStep = 10;

/**
A word that is older is told to nobody, in milliseconds: the server may have named another limit since.
*/
export const freshWordMs = 10_000;

/**
A limit that changes all the time is told so often at the most, in milliseconds.
*/
export const tellAgainMs = 500;

/**
Builds telling that has told nothing.
*/
export const createLimitTelling = ({
	self,
	entries,
	order,
	tellPeers,
}: LimitTellingOptions): LimitTelling => {
	const isDue = (
		life: string,
		{saidAt, hasNews}: LimitEntry,
		now: number,
	): boolean => {
		const silentMs = now - saidAt;
		const stepsMs = Math.min(lastStep, order.rank(life)) * remindStepMs;
		return silentMs >= (hasNews ? tellAgainMs : remindLimitMs + stepsMs);
	};

	return {
		tick(now) {
			const limits: ToldLimit[] = [];
			for (const life of entries.lives()) {
				const entry = entries.get(life)!;
				const told = isDue(life, entry, now)
					? toldLimit(life, entry, now)
					: undefined;
				if (!told) {
					continue;
				}

				entry.hasNews = false;
				entry.saidAt = now;
				limits.push(told);
			}

			if (limits.length > 0) {
				tellPeers({kind: 'backend-limits', from: self, limits});
			}
		},
	};
};

const toldLimit = (
	life: string,
	{statements}: LimitEntry,
	now: number,
): ToldLimit | undefined => {
	const statement = lowestStatement(statements);
	return statement === undefined || now - statement.latest > freshWordMs
		? undefined
		: {
				life,
				perSecond: statement.perSecond,
				earliestAgoMs: now - statement.earliest,
				latestAgoMs: now - statement.latest,
			};
};
