import type {Logger} from '../logging/index.ts';
import type {Crash} from './crash.ts';
import type {QuarantineEntry} from './quarantine-entry.ts';

/**
Writes crashes of backend servers, and what is concluded from them, to the log.
*/
export type CrashLog = {
	crashed(crash: Crash, now: number): void;
	/**
	A request was put in quarantine.

	@param from Id of the node that concluded it.
	*/
	quarantined(entry: QuarantineEntry, from: string, now: number): void;
	/**
	A request that was at crashes was answered whole.
	*/
	cleared(fingerprint: string, now: number): void;
	/**
	Lives of servers that this node saw crash since it started.
	*/
	crashesSeen(): number;
};

/**
Lines in a second at the most: a zone that loses power takes dozens of servers.
*/
export const crashLinesPerSecond = 10;

/**
Fingerprints in one line at the most.
*/
export const maximumFingerprintsPerLine = 24;

const secondMs = 1000;

/**
Builds a log that has written nothing. A line names the fingerprints of the requests that were under way, so that one
that was at several servers when they crashed is found by searching for it, at whatever node it was.
*/
export const createCrashLog = (logger: Logger): CrashLog => {
	let linesLeft = crashLinesPerSecond;
	let refilledAt = -Infinity;
	let crashesSeen = 0;
	let latest = '';

	const write = (
		now: number,
		facts: Readonly<Record<string, string | number>>,
		message: string,
	) => {
		if (now - refilledAt >= secondMs) {
			refilledAt = now;
			linesLeft = crashLinesPerSecond;
		}

		if (!(linesLeft > 0)) {
			return;
		}

		linesLeft -= 1;
		logger.warn(facts, message);
	};

	return {
		crashed({incarnationId, at, runs}, now) {
			// What is seen of one crash comes in parts.
			crashesSeen += incarnationId === latest ? 0 : 1;
			latest = incarnationId;
			const facts = {
				server: incarnationId,
				brokeMsAgo: Math.round(now - at),
				requests: runs.length,
				fingerprints: runs
					.slice(0, maximumFingerprintsPerLine)
					.map(({fingerprint}) => fingerprint)
					.join(' '),
			};
			write(now, facts, 'backend server crashed');
		},
		quarantined({fingerprint, until, level}, from, now) {
			const forMs = Math.round(until - now);
			const facts = {fingerprint, level, forMs, from};
			write(now, facts, 'request put in quarantine');
		},
		cleared(fingerprint, now) {
			write(now, {fingerprint}, 'request cleared of crashes');
		},
		crashesSeen: () => crashesSeen,
	};
};
