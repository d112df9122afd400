import type {LimitState, SharedVerdict} from '../limits/index.ts';
import type {Logger} from '../logging/index.ts';

/**
Logs when a client account begins to be limited, and when that ends.
*/
export type ClientLimitLog = {
	/**
	Records whether a request of an account was admitted.
	*/
	record(account: string, verdict: SharedVerdict, now: number): void;
	/**
	Logs accounts that are no longer limited; called at each tick.
	*/
	tick(now: number): void;
};

/**
Time without a refusal after which an account is no longer considered limited, in milliseconds. Refused requests are
retried within this time, so that one line reports how long the account was limited.
*/
export const unlimitedAfterMs = 5000;

type Limited = {readonly since: number; lastAt: number; refused: number};

/**
Creates a log in which no account is limited. It writes at most two lines per account in `unlimitedAfterMs`, however many
requests the account sends.
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

			const entry = limited.get(account);
			if (entry) {
				entry.lastAt = now;
				entry.refused += 1;
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
