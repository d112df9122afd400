import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Member} from '../membership/index.ts';
import type {
	QuarantineMessage,
	CrashUpdate,
} from '../peers/quarantine-messages.ts';
import type {Random} from '../shared/index.ts';
import {createCrashLedger, type QuarantineStatus} from './crash-ledger.ts';
import {createCrashLog} from './crash-log.ts';
import {createCrashWatch, type CrashWatch} from './crash-watch.ts';
import type {Crash} from './crash.ts';
import {longestQuarantineMs, type QuarantineEntry} from './quarantine-entry.ts';

/**
Keeps requests that crash the servers which run them away from all servers, together with the other nodes.
*/
export type Quarantine = Omit<CrashWatch, 'tick'> & {
	/**
	What is known against a request; its fingerprint is only asked for where anything is known against any.
	*/
	status(fingerprint: () => string, now: number): QuarantineStatus;
	/**
	A request was answered whole.
	*/
	served(fingerprint: () => string): void;
	/**
	Takes in what another node tells.
	*/
	receive(message: QuarantineMessage, now: number): void;
	/**
	Finds requests out and tells other nodes; called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: crashes of servers that this node saw, requests that were at one, and requests in quarantine.
	*/
	crashesSeen(): number;
	suspects(): number;
	quarantined(now: number): number;
};

/**
What a quarantine is built from.
*/
export type QuarantineOptions = {
	readonly self: string;
	/**
	The other nodes that can be told; replaced when they change.
	*/
	readonly usable: () => readonly Member[];
	readonly send: (
		members: readonly Member[],
		message: QuarantineMessage,
	) => void;
	/**
	Asks a backend server whether it lives its life still.
	*/
	readonly probe: (server: string, life: string) => void;
	/**
	Told of each request that is put in quarantine, here or by another node.
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
Requests in quarantine that one reminder names at the most; the others follow in turn.
*/
export const maximumGossipEntries = 30;

/**
Requests at crashed servers that are told at one tick at the most. A zone that loses power takes dozens of servers, and none
of its requests is to blame.
*/
export const maximumRunsPerTick = 200;

const clear: QuarantineStatus = {kind: 'clear'};

/**
Builds a quarantine without an entry.
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
	const ledger = createCrashLedger();
	const log = createCrashLog(logger);
	const isOff = without.has('quarantine');
	let unsaid: Crash[] = [];
	let remindAt = 0;
	let reminded = 0;
	let told: readonly Member[] = [];

	const watch = createCrashWatch({
		probe,
		onCrash(crash) {
			const now = clock();
			log.crashed(crash, now);
			if (isOff) {
				return;
			}

			ledger.addCrash(crash, now);
			unsaid.push(crash);
		},
	});

	const tellCrashes = (now: number) => {
		const runs = unsaid.flatMap((crash) => toldRuns(crash, now));
		unsaid = [];
		if (runs.length === 0) {
			return;
		}

		const some = runs.slice(0, maximumRunsPerTick);
		send(usable(), {kind: 'crashes', from: self, runs: some});
	};

	const tellEntries = (
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
				leftMs: until - now,
				level,
			})),
		});
	};

	const remind = (now: number) => {
		const members = usable();
		const entries = ledger.entries(now);
		if (now < remindAt || members.length === 0 || entries.length === 0) {
			return;
		}

		remindAt = now + quarantineGossipMs;
		const first = reminded % entries.length;
		reminded = first + maximumGossipEntries;
		const some = entries.slice(first, first + maximumGossipEntries);
		tellEntries([members[random.below(members.length)]!], some, now);
	};

	// Members that have started, or returned from a partition, are told at once.
	const tellNewcomers = (now: number) => {
		const members = usable();
		if (members === told) {
			return;
		}

		const known = new Set(told.map((member) => memberLife(member)));
		told = members;
		const newcomers = members.filter(
			(member) => !known.has(memberLife(member)),
		);
		tellEntries(newcomers, ledger.entries(now), now);
	};

	const found = (entry: QuarantineEntry, from: string, now: number) => {
		log.quarantined(entry, from, now);
		onQuarantined(entry.fingerprint);
	};

	const hearEntries = (
		{entries, from}: Extract<QuarantineMessage, {readonly kind: 'quarantine'}>,
		now: number,
	) => {
		for (const {fingerprint, leftMs, level} of entries) {
			const until = now + Math.min(leftMs, longestQuarantineMs);
			const entry = {fingerprint, until, level};
			if (ledger.mergeEntry(entry, now)) {
				found(entry, from, now);
			}
		}
	};

	return {
		...watch,
		status: (fingerprint, now) =>
			isOff || ledger.isEmpty() ? clear : ledger.status(fingerprint(), now),
		served(fingerprint) {
			if (ledger.isEmpty() || !ledger.served(fingerprint())) {
				return;
			}

			log.cleared(fingerprint(), clock());
			const fingerprints = [fingerprint()];
			send(usable(), {kind: 'served', from: self, fingerprints});
		},
		receive(message, now) {
			if (isOff) {
				return;
			}

			switch (message.kind) {
				case 'crashes': {
					for (const run of message.runs) {
						ledger.addCrash(heardCrash(run, now), now);
					}

					return;
				}

				case 'quarantine': {
					hearEntries(message, now);
					return;
				}

				case 'served': {
					for (const fingerprint of message.fingerprints) {
						ledger.served(fingerprint);
					}
				}
			}
		},
		tick(now) {
			watch.tick(now);
			tellCrashes(now);
			const entries = ledger.evaluate(now);
			tellEntries(usable(), entries, now);
			for (const entry of entries) {
				found(entry, self, now);
			}

			tellNewcomers(now);
			remind(now);
		},
		crashesSeen: log.crashesSeen,
		suspects: ledger.suspects,
		quarantined: (now) => ledger.entries(now).length,
	};
};

const memberLife = ({id, incarnation}: Member): string =>
	`${id} ${incarnation}`;

const toldRuns = (
	{incarnationId, at, runs}: Crash,
	now: number,
): readonly CrashUpdate[] =>
	runs.map(({fingerprint, sentAt}) => ({
		incarnationId,
		agoMs: now - at,
		fingerprint,
		sentAgoMs: now - sentAt,
	}));

const heardCrash = (
	{incarnationId, agoMs, fingerprint, sentAgoMs}: CrashUpdate,
	now: number,
): Crash => ({
	incarnationId,
	at: now - agoMs,
	runs: [{fingerprint, sentAt: now - sentAgoMs}],
});
