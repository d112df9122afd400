import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySource,
	RegistryValue,
} from '../src/registry/index.ts';
import type {RouteDocument} from '../src/routes/index.ts';
import {createLongPollWaiters} from '../src/shared/index.ts';

/**
In-memory registry that any number of nodes can read.
*/
export type StandInRegistry = {
	write(key: string, value: RegistryValue | undefined): void;
	/**
	Sets whether the registry is available. While it is not, all queries fail.
	*/
	setUp(isUp: boolean): void;
	/**
	Restores the registry from a backup at the given revision. Later writes are lost, and new writes reuse their
	revisions. Ends waiting long polls.

	@returns Function that repeats the lost writes, except those to keys that were written after the restore.
	*/
	restore(revision: number): () => void;
	/**
	Discards the change history, so that queries for changes after an earlier revision fail.
	*/
	forgetHistory(): void;
	revision(): number;
	source(): RegistrySource;
	/**
	Number of queries so far.
	*/
	calls(): number;
	/**
	Number of snapshot queries so far.
	*/
	fullReads(): number;
};

/**
Configures how an in-memory registry reports a restore.
*/
export type StandInRegistryOptions = {
	/**
	Whether answers include an era, which increases with each restore.
	*/
	readonly hasEras?: boolean;
};

/**
Creates an empty in-memory registry.
*/
export const createStandInRegistry = ({
	hasEras = false,
}: StandInRegistryOptions = {}): StandInRegistry => {
	const rows = new Map<string, RegistryItem>();
	let history: RegistryItem[] = [];
	const waiters = createLongPollWaiters();
	let era = 1;
	let historyFrom = 0;
	// Unlike revisions, write numbers are not reused after a restore.
	let writes = 0;
	const writtenAt = new Map<string, number>();
	let revision = 0;
	let isUp = true;
	let calls = 0;
	let fullReads = 0;

	const currentPosition = () => (hasEras ? {era, revision} : {revision});

	const put = (item: RegistryItem) => {
		if (item.value === undefined) {
			rows.delete(item.key);
		} else {
			rows.set(item.key, item);
		}
	};

	const down: RegistryAnswer = {kind: 'unavailable', reason: 'down'};

	const write = (key: string, value: RegistryValue | undefined) => {
		writes += 1;
		writtenAt.set(key, writes);
		revision += 1;
		const item = {key, revision, value};
		history.push(item);
		put(item);
		waiters.release();
	};

	return {
		write,
		setUp(isNow) {
			isUp = isNow;
		},
		restore(to) {
			const lost = new Map(
				history
					.filter((item) => item.revision > to)
					.map(({key, value}) => [key, value]),
			);
			const writesBefore = writes;
			era += 1;
			revision = to;
			historyFrom = Math.min(historyFrom, to);
			history = history.filter((item) => item.revision <= to);
			rows.clear();
			for (const item of history) {
				put(item);
			}

			waiters.release();
			return () => {
				for (const [key, value] of lost) {
					if ((writtenAt.get(key) ?? 0) <= writesBefore) {
						write(key, value);
					}
				}
			};
		},
		forgetHistory() {
			historyFrom = revision;
			waiters.release();
		},
		revision: () => revision,
		calls: () => calls,
		fullReads: () => fullReads,
		source: () => ({
			async snapshot() {
				calls += 1;
				fullReads += 1;
				return isUp
					? {
							kind: 'snapshot',
							...currentPosition(),
							items: rows.values().toArray(),
						}
					: down;
			},
			async changes(after, waitMs) {
				calls += 1;
				const eraAtQuery = era;
				if (isUp && revision === after) {
					await waiters.wait(waitMs);
				}

				// A registry restored without eras is a new process, which has no waiting queries of the old one.
				if (!isUp || (!hasEras && era !== eraAtQuery)) {
					return down;
				}

				return after > revision || after < historyFrom
					? {kind: 'history-lost'}
					: {
							kind: 'changes',
							...currentPosition(),
							items: history.filter((item) => item.revision > after),
						};
			},
			close: async () => undefined,
		}),
	};
};

/**
Writes the route document to the registry.
*/
export const writeRoutes = (
	registry: StandInRegistry,
	document: RouteDocument,
): void => {
	registry.write('routes', {kind: 'routes', document});
};
