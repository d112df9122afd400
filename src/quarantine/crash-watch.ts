import {maximumRunsPerCrash, type Crash} from './crash.ts';

/**
A request whose connection to a backend server ended without a whole answer.
*/
export type BrokenRun = {
	readonly server: string;
	/**
	Names the life of the server that it was sent to.
	*/
	readonly incarnationId: string;
	readonly fingerprint: string;
	readonly sentAt: number;
};

/**
Tells the crash of a backend server from a connection that broke alone.

A broken connection proves little: servers close idle ones, break single answers off, and links reset. A server has
crashed where nobody listens at its address any more, or where its entry goes or names a later start.
*/
export type CrashWatch = {
	connectionBroken(run: BrokenRun, now: number): void;
	/**
	Nobody listens at the server's address.
	*/
	connectionRefused(life: string, now: number): void;
	/**
	The server lives, or its end was planned.
	*/
	crashRuledOut(life: string): void;
	/**
	The server's entry has gone, or names a later start, without a word of its leaving.
	*/
	entryRemoved(life: string): void;
	/**
	Forgets what is too old to prove anything; called at each tick.
	*/
	tick(now: number): void;
};

/**
What a watch is built from.
*/
export type CrashWatchOptions = {
	/**
	Asks a server whether it lives; `refused` or `acquitted` may follow.
	*/
	readonly probe: (server: string, life: string) => void;
	/**
	Told of each crash, and again of requests whose connections are seen to break later.
	*/
	readonly onCrash: (crash: Crash) => void;
};

/**
How long after a connection broke a sign of the server's end counts for it, in milliseconds. The entry of a server
that says nothing any more goes after some four seconds.
*/
export const crashEvidenceWindowMs = 6000;

/**
Pause between two questions to one server, in milliseconds: servers that break single answers off break many.
*/
export const crashProbeIntervalMs = 500;

/**
Lives of servers that are watched at once at the most; the oldest gives way.
*/
export const maximumWatchedIncarnations = 256;

type Watched = {
	readonly since: number;
	askedAt: number;
	isCrash: boolean;
	/**
	By fingerprint, when it was sent; emptied when told.
	*/
	runs: Map<string, number>;
};

/**
Builds a watch that has seen nothing.
*/
export const createCrashWatch = ({
	probe,
	onCrash,
}: CrashWatchOptions): CrashWatch => {
	// In the order in which they were first seen.
	const watched = new Map<string, Watched>();

	const watchedOf = (incarnationId: string, now: number): Watched => {
		const known = watched.get(incarnationId);
		if (known) {
			return known;
		}

		if (watched.size >= maximumWatchedIncarnations) {
			watched.delete(watched.keys().next().value!);
		}

		const entry = {
			since: now,
			askedAt: -Infinity,
			isCrash: false,
			runs: new Map<string, number>(),
		};
		watched.set(incarnationId, entry);
		return entry;
	};

	const tell = (incarnationId: string, entry: Watched) => {
		entry.isCrash = true;
		if (entry.runs.size === 0) {
			return;
		}

		const runs = [...entry.runs].map(([fingerprint, sentAt]) => ({
			fingerprint,
			sentAt,
		}));
		entry.runs = new Map();
		onCrash({incarnationId, at: entry.since, runs});
	};

	return {
		connectionBroken({server, incarnationId, fingerprint, sentAt}, now) {
			const entry = watchedOf(incarnationId, now);
			if (entry.runs.size < maximumRunsPerCrash) {
				entry.runs.set(fingerprint, sentAt);
			}

			if (entry.isCrash) {
				tell(incarnationId, entry);
			} else if (now - entry.askedAt >= crashProbeIntervalMs) {
				entry.askedAt = now;
				probe(server, incarnationId);
			}
		},
		connectionRefused(incarnationId, now) {
			tell(incarnationId, watchedOf(incarnationId, now));
		},
		crashRuledOut(incarnationId) {
			if (watched.get(incarnationId)?.isCrash === false) {
				watched.delete(incarnationId);
			}
		},
		entryRemoved(incarnationId) {
			const entry = watched.get(incarnationId);
			if (entry) {
				tell(incarnationId, entry);
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
