import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySource,
	RegistryValue,
} from '../src/registry/index.ts';
import type {RouteDocument} from '../src/routes/index.ts';
import {createHeldCalls} from '../src/shared/index.ts';

/**
A registry in memory that many nodes read.
*/
export type StandInRegistry = {
	write(key: string, value: RegistryValue | undefined): void;
	/**
	Whether it answers; while it does not, each question fails.
	*/
	setUp(isUp: boolean): void;
	source(): RegistrySource;
	/**
	Questions that were asked so far.
	*/
	calls(): number;
};

/**
Builds an empty registry.
*/
export const createStandInRegistry = (): StandInRegistry => {
	const rows = new Map<string, RegistryItem>();
	const history: RegistryItem[] = [];
	const held = createHeldCalls();
	let revision = 0;
	let isUp = true;
	let calls = 0;

	const down: RegistryAnswer = {kind: 'unavailable', reason: 'down'};

	return {
		write(key, value) {
			revision += 1;
			const item = {key, revision, value};
			history.push(item);
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, item);
			}

			held.release();
		},
		setUp(isNow) {
			isUp = isNow;
		},
		calls: () => calls,
		source: () => ({
			async snapshot() {
				calls += 1;
				return isUp
					? {kind: 'snapshot', revision, items: rows.values().toArray()}
					: down;
			},
			async changes(after, waitMs) {
				calls += 1;
				if (isUp && revision <= after) {
					await held.wait(waitMs);
				}

				return isUp
					? {
							kind: 'changes',
							revision,
							items: history.filter((item) => item.revision > after),
						}
					: down;
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
