import {
	maximumRunsPerCrash,
	type CrashedPart,
	type ObservedCrash,
} from './crash.ts';

/**
A request whose connection to a backend server ended without a complete answer.
*/
export type BrokenRun = {
	readonly server: string;
	/**
	Identifies the incarnation of the server to which the request was sent.
	*/
	readonly incarnationId: string;
	readonly fingerprint: string;
	/**
	Fingerprints of the parts of its prompt that other requests may share.
	*/
	readonly partFingerprints: readonly string[];
	readonly sentAt: number;
};

/**
Distinguishes the crash of a backend server from a single broken connection.

A broken connection proves little: servers close idle connections, abort single answers, and links reset. A server has
crashed if it no longer accepts connections at its address, or if its entry is removed or states a later start.
*/
export type CrashWatch = {
	connectionBroken(run: BrokenRun, now: number): void;
	/**
	Records that nothing listens at the server's address.
	*/
	connectionRefused(incarnationId: string, now: number): void;
	/**
	Records that the server is alive, or that its end was planned.
	*/
	crashRuledOut(incarnationId: string): void;
	/**
	Records that the server's entry was removed, or states a later start, without an announced shutdown.
	*/
	entryRemoved(incarnationId: string): void;
	/**
	Removes broken connections that are too old to count as evidence; called at each tick.
	*/
	tick(now: number): void;
};

/**
The callbacks of a crash watch.
*/
export type CrashWatchOptions = {
	/**
	Probes whether a server is alive; `connectionRefused` or `crashRuledOut` may be called as a result.
	*/
	readonly probe: (server: string, incarnationId: string) => void;
	/**
	Called for each crash, and again for requests whose connections break later.
	*/
	readonly onCrash: (crash: ObservedCrash) => void;
};

/**
How long after a broken connection a sign of the server's end still counts as evidence of a crash, in milliseconds. The
entry of an unresponsive server is removed after some four seconds.
*/
export const crashEvidenceWindowMs = 6000;

/**
Minimum interval between two probes of one server, in milliseconds, because servers that abort single answers abort many.
*/
export const crashProbeIntervalMs = 500;

/**
Maximum number of server incarnations watched at once; the oldest is evicted first.
*/
export const maximumWatchedIncarnations = 256;

type Watched = {
	readonly since: number;
	probedAt: number;
	isCrash: boolean;
	/**
	The time at which each request was sent, by fingerprint; emptied when the crash is reported.
	*/
	runs: Map<string, number>;
	/**
	The parts of the prompts of these requests, by fingerprint.
	*/
	parts: Map<string, CrashedPart>;
};

/**
Creates a crash watch.
*/
export const createCrashWatch = ({
	probe,
	onCrash,
}: CrashWatchOptions): CrashWatch => {
	// In the order of the first broken connection of each.
	const watched = new Map<string, Watched>();

	const entryOf = (incarnationId: string, now: number): Watched => {
		const known = watched.get(incarnationId);
		if (known) {
			return known;
		}

		if (watched.size >= maximumWatchedIncarnations) {
			watched.delete(watched.keys().next().value!);
		}

		const entry = {
			since: now,
			probedAt: -Infinity,
			isCrash: false,
			runs: new Map<string, number>(),
			parts: new Map<string, CrashedPart>(),
		};
		watched.set(incarnationId, entry);
		return entry;
	};

	const report = (incarnationId: string, entry: Watched) => {
		entry.isCrash = true;
		if (entry.runs.size === 0) {
			return;
		}

		const runs = [...entry.runs].map(([fingerprint, sentAt]) => ({
			fingerprint,
			sentAt,
		}));
		const parts = entry.parts.values().toArray();
		entry.runs = new Map();
		entry.parts = new Map();
		onCrash({incarnationId, at: entry.since, runs, parts});
	};

	return {
		connectionBroken(run, now) {
			const {server, incarnationId, fingerprint, sentAt} = run;
			const entry = entryOf(incarnationId, now);
			if (entry.runs.size < maximumRunsPerCrash) {
				entry.runs.set(fingerprint, sentAt);
				addParts(entry.parts, run);
			}

			if (entry.isCrash) {
				report(incarnationId, entry);
			} else if (now - entry.probedAt >= crashProbeIntervalMs) {
				entry.probedAt = now;
				probe(server, incarnationId);
			}
		},
		connectionRefused(incarnationId, now) {
			report(incarnationId, entryOf(incarnationId, now));
		},
		crashRuledOut(incarnationId) {
			if (watched.get(incarnationId)?.isCrash === false) {
				watched.delete(incarnationId);
			}
		},
		entryRemoved(incarnationId) {
			const entry = watched.get(incarnationId);
			if (entry) {
				report(incarnationId, entry);
			}
		},
		tick(now) {
			for (const [incarnationId, {since}] of watched) {
				if (now - since > crashEvidenceWindowMs) {
					watched.delete(incarnationId);
				}
			}
		},
	};
};

const addParts = (
	parts: Map<string, CrashedPart>,
	{partFingerprints, sentAt}: BrokenRun,
): void => {
	for (const fingerprint of partFingerprints) {
		const known = parts.get(fingerprint);
		parts.set(fingerprint, {
			fingerprint,
			sentAt: Math.max(sentAt, known?.sentAt ?? -Infinity),
			runs: (known?.runs ?? 0) + 1,
		});
	}
};
