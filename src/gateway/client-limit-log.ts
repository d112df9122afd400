import type {LimitState, SharedVerdict} from '../limits/index.ts';
import type {Logger} from '../logging/index.ts';

/**
Writes down when a client account begins to be limited, and when that ends.
*/
export type ClientLimitLog = {
	/**
	An account was let through, or not.
	*/
	record(account: string, verdict: SharedVerdict, now: number): void;
	/**
	Finds accounts that are not limited any more; called at each tick.
	*/
	tick(now: number): void;
};

/**
An account that was not limited for so long is free again, in milliseconds: as long as its requests come back after a
refusal, so that one line says how long it was.
*/
export const unlimitedAfterMs = 5000;

type Limited = {readonly since: number; lastAt: number; refused: number};

/**
Builds a log in which no account is limited: two lines at the most for an account in `freeAfterMs`, however many
requests it sends.
*/
export const createClientLimitLog = (
	logger: Logger,
	stateOf: (account: string, now: number) => LimitState | undefined,
): ClientLimitLog => {
	const limited = new Map<string, Limited>();

	const begin = (account: string, now: number) => {
		limited.set(account, {since: now, lastAt: now, refused: 1});
		const state = stateOf(account, now);
		logger.info(
			{
				client: account,
				part: state?.admissionFraction,
				askedPerSecond: state?.usage.requested,
				passedInWindow: state?.usage.admitted,
				totalsAgeMs: Math.round(state?.ageMs ?? Infinity),
			},
			'client account is limited',
		);
	};

	return {
		record(account, {kind}, now) {
			if (kind === 'admitted') {
				return;
			}

			const known = limited.get(account);
			if (known) {
				known.lastAt = now;
				known.refused += 1;
			} else {
				begin(account, now);
			}
		},
		tick(now) {
			for (const [account, {since, lastAt, refused}] of limited) {
				if (now - lastAt <= unlimitedAfterMs) {
					continue;
				}

				limited.delete(account);
				logger.info(
					{client: account, refused, limitedMs: Math.round(lastAt - since)},
					'client account is not limited any more',
				);
			}
		},
	};
};
