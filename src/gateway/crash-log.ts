import type {Logger} from '../logging/index.ts';
import type {Crash} from '../quarantine/index.ts';

/**
Writes crashes of backend servers to the log.
*/
export type CrashLog = {
	note(crash: Crash, now: number): void;
	/**
	Lives of servers that this node saw crash since it started.
	*/
	seen(): number;
};

/**
Lines about crashes in a second at the most: a zone that loses power takes dozens of servers.
*/
export const crashLinesPerSecond = 10;

/**
Fingerprints in one line at the most.
*/
export const fingerprintsOfLine = 24;

const secondMs = 1000;

/**
Builds a log that has written nothing. A line names the fingerprints of the requests that were under way, so that one
that was at several servers when they crashed is found by searching for it, at whatever node it was.
*/
export const createCrashLog = (logger: Logger): CrashLog => {
	let linesLeft = crashLinesPerSecond;
	let refilledAt = -Infinity;
	let seen = 0;
	let latest = '';

	return {
		note({life, at, runs}, now) {
			// What is seen of one crash comes in parts.
			seen += life === latest ? 0 : 1;
			latest = life;
			if (now - refilledAt >= secondMs) {
				refilledAt = now;
				linesLeft = crashLinesPerSecond;
			}

			if (linesLeft === 0) {
				return;
			}

			linesLeft -= 1;
			logger.warn(
				{
					server: life,
					brokeMsAgo: Math.round(now - at),
					requests: runs.length,
					fingerprints: runs
						.slice(0, fingerprintsOfLine)
						.map(({fingerprint}) => fingerprint)
						.join(' '),
				},
				'backend server crashed',
			);
		},
		seen: () => seen,
	};
};
