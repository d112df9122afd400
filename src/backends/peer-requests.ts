/**
Requests of the other nodes in flight at the servers of one service, as they reported them.
*/
export type PeerRequests = {
	/**
	Records the requests of the other nodes at some servers; a report may arrive in several messages.
	*/
	record(counts: ReadonlyMap<string, number>, now: number): void;
	/**
	Records how long a request of this node was in flight, in milliseconds.
	*/
	recordDuration(milliseconds: number): void;
	/**
	Mean time that this node's latest requests were in flight, in milliseconds; undefined before the first one has ended.
	*/
	meanDurationMs(): number | undefined;
	/**
	Estimates the requests of the other nodes at a server now. Returns undefined without a recent report.
	*/
	estimate(server: string, now: number): number | undefined;
};

/**
Maximum age of a report that is used, in milliseconds.
*/
export const peerReportMaximumAgeMs = 2500;

/**
Age of the counts in a report when it arrives, in milliseconds: nodes report and holders add up at the same interval.
*/
export const reportDelayMs = 400;

// Number of requests over which the duration is averaged.
const durationSamples = 20;

// Weight of the latest report in the moving average over the servers. Reports count whole requests at one moment each.
const meanWeight = 0.5;

// Assumed duration before the first request has ended.
const initialDurationMs = 200;

/**
Creates requests without reports.

Of the requests that a report counts, those that have ended since are replaced by the mean of all servers. Otherwise all nodes
would send their short requests to the server that was the emptiest in the last report.
*/
export const createPeerRequests = (): PeerRequests => {
	const counts = new Map<
		string,
		{readonly count: number; readonly at: number}
	>();
	let mean = 0;
	let durationMs = initialDurationMs;
	let samples = 0;
	let reportedAt = -Infinity;

	return {
		record(latest, now) {
			for (const [server, count] of latest) {
				counts.set(server, {count, at: now});
			}

			let sum = 0;
			for (const [server, {count, at}] of counts) {
				if (now - at > peerReportMaximumAgeMs) {
					counts.delete(server);
				} else {
					sum += count;
				}
			}

			const latestMean = counts.size === 0 ? 0 : sum / counts.size;
			const hasMean = now - reportedAt <= peerReportMaximumAgeMs;
			mean = hasMean ? mean + (latestMean - mean) * meanWeight : latestMean;
			reportedAt = now;
		},
		recordDuration(milliseconds) {
			samples = Math.min(durationSamples, samples + 1);
			durationMs += (milliseconds - durationMs) / samples;
		},
		meanDurationMs: () => (samples === 0 ? undefined : durationMs),
		estimate(server, now) {
			if (now - reportedAt > peerReportMaximumAgeMs) {
				return undefined;
			}

			const report = counts.get(server);
			if (!report) {
				return mean;
			}

			const ageMs = Math.max(0, now - report.at) + reportDelayMs;
			const remaining = Math.exp(-ageMs / Math.max(1, durationMs));
			return report.count * remaining + mean * (1 - remaining);
		},
	};
};
