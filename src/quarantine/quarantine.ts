import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Member} from '../membership/index.ts';
import type {
	QuarantineMessage,
	CrashUpdate,
} from '../peers/quarantine-messages.ts';
import type {Random} from '../shared/index.ts';
import {
	createCrashLedger,
	createPartLedger,
	type CrashLedger,
	type QuarantineStatus,
} from './crash-ledger.ts';
import {createCrashLog} from './crash-log.ts';
import {createCrashWatch, type CrashWatch} from './crash-watch.ts';
import type {Crash, CrashedRun, ObservedCrash} from './crash.ts';
import {isPartFingerprint} from './part-fingerprint.ts';
import {longestQuarantineMs, type QuarantineEntry} from './quarantine-entry.ts';
import {createServedParts} from './served-parts.ts';

/**
Keeps requests that crash servers away from all servers, together with the other nodes.
*/
export type Quarantine = Omit<CrashWatch, 'tick'> & {
	/**
	The quarantine status of a request. Its fingerprint is computed only if any request is suspected or listed, and those of the parts
	of its prompt only if any part is listed.
	*/
	status(
		fingerprint: () => string,
		partFingerprints: () => readonly string[],
		now: number,
	): QuarantineStatus;
	/**
	Clears a request that received a complete answer.
	*/
	served(fingerprint: () => string): void;
	/**
	Clears the parts of a prompt that received a complete answer, if it is a success: a server may fail without having begun to process
	the prompt.
	*/
	partsServed(status: number, fingerprints: () => readonly string[]): void;
	/**
	Handles a message of another node.
	*/
	receive(message: QuarantineMessage, now: number): void;
	/**
	Evaluates crashes and sends the results to other nodes; called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: crashes of servers that this node saw, requests that were in flight at a crash, and requests in quarantine.
	*/
	crashesSeen(): number;
	suspects(): number;
	quarantined(now: number): number;
	/**
	For metrics: the same for parts of prompts.
	*/
	partSuspects(): number;
	partsQuarantined(now: number): number;
};

/**
The dependencies and callbacks of a quarantine.
*/
export type QuarantineOptions = {
	readonly self: string;
	/**
	The other nodes that can receive messages; a new list whenever they change.
	*/
	readonly usable: () => readonly Member[];
	readonly send: (
		members: readonly Member[],
		message: QuarantineMessage,
	) => void;
	/**
	Probes whether an incarnation of a backend server is still alive.
	*/
	readonly probe: (server: string, incarnationId: string) => void;
	/**
	Called for each request that is put in quarantine, by this node or another one.
	*/
	readonly onQuarantined: (fingerprint: string) => void;
	readonly random: Random;
	readonly without: DisabledMechanisms;
	readonly clock: () => number;
	readonly logger: Logger;
};

/**
Interval at which quarantined fingerprints are gossiped to one random member, in milliseconds.
*/
export const quarantineGossipMs = 1000;

/**
Maximum number of quarantine entries in one gossip message; the other entries follow in later messages.
*/
export const maximumGossipEntries = 30;

/**
Maximum number of requests at crashed servers that are sent to other nodes per tick. A zone that loses power takes down
dozens of servers, and none of their requests is to blame.
*/
export const maximumRunsPerTick = 200;

const clear: QuarantineStatus = {kind: 'clear'};

/**
Creates an empty quarantine.
*/
export const createQuarantine = ({
	self,
	usable,
	send,
	probe,
	onQuarantined,
	random,
	without,
	clock,
	logger,
}: QuarantineOptions): Quarantine => {
	const parts = createPartLedger();
	const requests = createCrashLedger({isExplainedElsewhere: parts.explains});
	const ledgerOf = (fingerprint: string): CrashLedger =>
		isPartFingerprint(fingerprint) ? parts : requests;
	const servedParts = createServedParts(random);
	const log = createCrashLog(logger);
	const isOff = without.has('quarantine');
	let unsentCrashes: ObservedCrash[] = [];
	let nextGossipAt = 0;
	let gossipOffset = 0;
	let previousMembers: readonly Member[] = [];

	const watch = createCrashWatch({
		probe,
		onCrash(crash) {
			const now = clock();
			log.crashed(crash, now);
			if (isOff) {
				return;
			}

			requests.addCrash(crash, now);
			parts.addCrash({...crash, runs: crash.parts}, now);
			unsentCrashes.push(crash);
		},
	});

	const sendCrashes = (now: number) => {
		const ofRequests = unsentCrashes.flatMap((crash) =>
			crashUpdatesOf(crash, crash.runs, now),
		);
		const ofParts = unsentCrashes.flatMap((crash) =>
			crashUpdatesOf(crash, crash.parts, now),
		);
		unsentCrashes = [];
		const runs = [
			...ofRequests.slice(0, maximumRunsPerTick),
			...ofParts.slice(0, maximumRunsPerTick),
		];
		if (runs.length > 0) {
			send(usable(), {kind: 'crashes', from: self, runs});
		}
	};

	const sendServedParts = (now: number) => {
		const fingerprints = servedParts.takeDue(now);
		if (fingerprints.length > 0) {
			send(usable(), {kind: 'served', from: self, fingerprints});
		}
	};

	const sendEntries = (
		members: readonly Member[],
		entries: readonly QuarantineEntry[],
		now: number,
	) => {
		if (members.length === 0 || entries.length === 0) {
			return;
		}

		send(members, {
			kind: 'quarantine',
			from: self,
			entries: entries.map(({fingerprint, until, level}) => ({
				fingerprint,
				remainingMs: until - now,
				level,
			})),
		});
	};

	const entriesOfBoth = (now: number) => [
		...requests.entries(now),
		...parts.entries(now),
	];

	const gossip = (now: number) => {
		const members = usable();
		const entries = entriesOfBoth(now);
		if (now < nextGossipAt || members.length === 0 || entries.length === 0) {
			return;
		}

		nextGossipAt = now + quarantineGossipMs;
		const first = gossipOffset % entries.length;
		gossipOffset = first + maximumGossipEntries;
		const some = entries.slice(first, first + maximumGossipEntries);
		sendEntries([members[random.below(members.length)]!], some, now);
	};

	// Members that have started, or returned from a partition, receive the entries at once.
	const sendToNewcomers = (now: number) => {
		const members = usable();
		if (members === previousMembers) {
			return;
		}

		const known = new Set(
			previousMembers.map((member) => memberIncarnationId(member)),
		);
		previousMembers = members;
		const newcomers = members.filter(
			(member) => !known.has(memberIncarnationId(member)),
		);
		sendEntries(newcomers, entriesOfBoth(now), now);
	};

	const untilOf = (fingerprint: string, now: number): number => {
		const status = parts.status(fingerprint, now);
		return status.kind === 'quarantined' ? status.until : -Infinity;
	};

	const recordQuarantined = (
		entry: QuarantineEntry,
		from: string,
		now: number,
	) => {
		log.quarantined(entry, from, now);
		onQuarantined(entry.fingerprint);
	};

	const receiveEntries = (
		{entries, from}: Extract<QuarantineMessage, {readonly kind: 'quarantine'}>,
		now: number,
	) => {
		for (const {fingerprint, remainingMs, level} of entries) {
			const until = now + Math.min(remainingMs, longestQuarantineMs);
			const entry = {fingerprint, until, level};
			if (ledgerOf(fingerprint).mergeEntry(entry, now)) {
				recordQuarantined(entry, from, now);
			}
		}
	};

	return {
		...watch,
		status(fingerprint, partFingerprints, now) {
			if (isOff) {
				return clear;
			}

			const until = parts.hasListed()
				? Math.max(...partFingerprints().map((part) => untilOf(part, now)))
				: -Infinity;
			if (until > now) {
				return {kind: 'quarantined', until};
			}

			return requests.isEmpty() ? clear : requests.status(fingerprint(), now);
		},
		served(fingerprint) {
			if (requests.isEmpty() || !requests.served(fingerprint())) {
				return;
			}

			log.cleared(fingerprint(), clock());
			const fingerprints = [fingerprint()];
			send(usable(), {kind: 'served', from: self, fingerprints});
		},
		partsServed(status, fingerprints) {
			if (parts.isEmpty() || !isSuccess(status)) {
				return;
			}

			const now = clock();
			for (const fingerprint of fingerprints()) {
				const crashes = parts.crashesOf(fingerprint);
				const isListed = untilOf(fingerprint, now) > now;
				if (parts.served(fingerprint) && (isListed || crashes > 1)) {
					servedParts.add(fingerprint, usable().length, now);
				}
			}
		},
		receive(message, now) {
			if (isOff) {
				return;
			}

			switch (message.kind) {
				case 'crashes': {
					for (const run of message.runs) {
						ledgerOf(run.fingerprint).addCrash(crashOf(run, now), now);
					}

					return;
				}

				case 'quarantine': {
					receiveEntries(message, now);
					return;
				}

				case 'served': {
					for (const fingerprint of message.fingerprints) {
						servedParts.forget(fingerprint);
						ledgerOf(fingerprint).served(fingerprint);
					}
				}
			}
		},
		tick(now) {
			watch.tick(now);
			sendCrashes(now);
			sendServedParts(now);
			const entries = [...parts.evaluate(now), ...requests.evaluate(now)];
			sendEntries(usable(), entries, now);
			for (const entry of entries) {
				recordQuarantined(entry, self, now);
			}

			sendToNewcomers(now);
			gossip(now);
		},
		crashesSeen: log.crashesSeen,
		suspects: requests.suspects,
		quarantined: (now) => requests.entries(now).length,
		partSuspects: parts.suspects,
		partsQuarantined: (now) => parts.entries(now).length,
	};
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const memberIncarnationId = ({id, incarnation}: Member): string =>
	`${id} ${incarnation}`;

const crashUpdatesOf = (
	{incarnationId, at}: Crash,
	runs: readonly CrashedRun[],
	now: number,
): readonly CrashUpdate[] =>
	runs.map(({fingerprint, sentAt, runs: count}) => ({
		incarnationId,
		agoMs: now - at,
		fingerprint,
		sentAgoMs: now - sentAt,
		...(count !== undefined && {runs: count}),
	}));

const crashOf = (
	{incarnationId, agoMs, fingerprint, sentAgoMs, runs}: CrashUpdate,
	now: number,
): Crash => ({
	incarnationId,
	at: now - agoMs,
	runs: [
		{
			fingerprint,
			sentAt: now - sentAgoMs,
			...(runs !== undefined && {runs}),
		},
	],
});
