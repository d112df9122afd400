import type {Logger} from '../logging/index.ts';
import type {ObservedCrash} from './crash.ts';
import type {QuarantineEntry} from './quarantine-entry.ts';

/**
Logs crashes of backend servers and the quarantine decisions that follow from them.
*/
export type CrashLog = {
	crashed(crash: ObservedCrash, now: number): void;
	/**
	Logs that a request was put in quarantine.

	@param from Id of the node that decided it.
	*/
	quarantined(entry: QuarantineEntry, from: string, now: number): void;
	/**
	Logs that a request that was in flight at crashes received a complete answer.
	*/
	cleared(fingerprint: string, now: number): void;
	/**
	Number of server incarnations that this node saw crash since it started.
	*/
	crashesSeen(): number;
};

/**
Maximum number of log lines per second, because a zone that loses power takes down dozens of servers.
*/
export const crashLinesPerSecond = 10;

/**
Maximum number of fingerprints in one log line.
*/
export const maximumFingerprintsPerLine = 24;

const secondMs = 1000;

/**
Creates a crash log. A line contains the fingerprints of the requests in flight, so that a search of the logs of all nodes
finds a request that was at several servers when they crashed.
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
		crashed({incarnationId, at, runs, parts}, now) {
			// One crash may be reported in several parts.
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
				// Parts that few of the requests have tell more than those of all.
				parts: parts
					.toSorted((left, right) => left.runs - right.runs)
					.slice(0, maximumFingerprintsPerLine)
					.map((part) => `${part.fingerprint}*${part.runs}`)
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
