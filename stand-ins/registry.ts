import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySource,
	RegistryValue,
} from '../src/registry/index.ts';
import type {RouteDocument} from '../src/routes/index.ts';
import {createLongPollWaiters} from '../src/shared/index.ts';

/**
A registry in memory that many nodes read.
*/
export type StandInRegistry = {
	write(key: string, value: RegistryValue | undefined): void;
	/**
	Whether it answers; while it does not, each question fails.
	*/
	setUp(isUp: boolean): void;
	/**
	Comes back from the copy that it was after a revision: what was written since is gone, and its revisions are given
	out again. Held questions end.

	@returns Writes again what was lost and has not been written since.
	*/
	restore(revision: number): () => void;
	/**
	Forgets its changes so far, so that questions for those after an earlier revision fail.
	*/
	forgetHistory(): void;
	revision(): number;
	source(): RegistrySource;
	/**
	Questions that were asked so far.
	*/
	calls(): number;
	/**
	Questions for everything that were asked so far.
	*/
	fullReads(): number;
};

/**
How a registry tells that it came back from a copy.
*/
export type StandInRegistryOptions = {
	/**
	Whether its answers state an era.
	*/
	readonly hasEras?: boolean;
};

/**
Builds an empty registry.
*/
export const createStandInRegistry = ({
	hasEras = false,
}: StandInRegistryOptions = {}): StandInRegistry => {
	const rows = new Map<string, RegistryItem>();
	let history: RegistryItem[] = [];
	const held = createLongPollWaiters();
	let era = 1;
	let historyFrom = 0;
	// Other than revisions, these are not given out again.
	let writes = 0;
	const writtenAt = new Map<string, number>();
	let revision = 0;
	let isUp = true;
	let calls = 0;
	let fullReads = 0;

	const stated = () => (hasEras ? {era, revision} : {revision});

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
		held.release();
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

			held.release();
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
			held.release();
		},
		revision: () => revision,
		calls: () => calls,
		fullReads: () => fullReads,
		source: () => ({
			async snapshot() {
				calls += 1;
				fullReads += 1;
				return isUp
					? {kind: 'snapshot', ...stated(), items: rows.values().toArray()}
					: down;
			},
			async changes(after, waitMs) {
				calls += 1;
				const askedEra = era;
				if (isUp && revision === after) {
					await held.wait(waitMs);
				}

				// What comes back without eras is another process, which holds no questions.
				if (!isUp || (!hasEras && era !== askedEra)) {
					return down;
				}

				return after > revision || after < historyFrom
					? {kind: 'history-lost'}
					: {
							kind: 'changes',
							...stated(),
							items: history.filter((item) => item.revision > after),
						};
			},
			close: async () => undefined,
		}),
	};
};

/**
Enters routes into the registry.
*/
export const writeRoutes = (
	registry: StandInRegistry,
	document: RouteDocument,
): void => {
	registry.write('routes', {kind: 'routes', document});
};
