/**
Requests in flight at one backend server, as reported by one or more nodes.
*/
export type ServerRequests = {
	readonly server: string;
	readonly requests: number;
};

/**
Sums of the requests that several sources report, by backend server.
*/
export type RequestSums = {
	/**
	Replaces the source's counts of the servers in the report. Servers that the report does not name keep their counts.
	*/
	record(source: string, report: readonly ServerRequests[], now: number): void;
	/**
	Removes the sources that have not reported for `reportRetentionMs`.
	*/
	expire(now: number): void;
	/**
	Returns the sum over all sources for a server.
	*/
	at(server: string): number;
	/**
	Returns the number of sources.
	*/
	sources(): number;
	has(source: string): boolean;
};

/**
Time without a report after which a source no longer counts, in milliseconds. It allows for the loss of two of the reports
that nodes send each `demandIntervalMs`.
*/
export const reportRetentionMs = 1500;

type Source = {
	at: number;
	readonly counts: Map<string, number>;
};

/**
Creates sums without sources. A report costs as much as it has rows, whatever the number of sources.
*/
export const createRequestSums = (): RequestSums => {
	const sources = new Map<string, Source>();
	const sums = new Map<string, number>();

	const add = (server: string, change: number) => {
		const sum = (sums.get(server) ?? 0) + change;
		if (sum > 0) {
			sums.set(server, sum);
		} else {
			sums.delete(server);
		}
	};

	return {
		record(source, report, now) {
			const known = sources.get(source) ?? {at: now, counts: new Map()};
			sources.set(source, known);
			known.at = now;
			for (const {server, requests} of report) {
				add(server, requests - (known.counts.get(server) ?? 0));
				if (requests > 0) {
					known.counts.set(server, requests);
				} else {
					known.counts.delete(server);
				}
			}
		},
		expire(now) {
			for (const [id, {at, counts}] of sources) {
				if (now - at <= reportRetentionMs) {
					continue;
				}

				sources.delete(id);
				for (const [server, requests] of counts) {
					add(server, -requests);
				}
			}
		},
		at: (server) => sums.get(server) ?? 0,
		sources: () => sources.size,
		has: (source) => sources.has(source),
	};
};
