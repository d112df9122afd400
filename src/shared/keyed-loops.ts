/**
One iteration of a loop. It resolves with the delay until the next iteration, in milliseconds.
*/
export type LoopIteration = (isStopped: () => boolean) => Promise<number>;

/**
A set of loops with one loop per key. Loops start and stop as keys are added and removed.
*/
export type KeyedLoops = {
	/**
	Starts and stops loops according to the current keys; must be called periodically.
	*/
	tick(): void;
	stop(): void;
};

/**
Creates a set of loops. No loop runs before the first tick.

@param currentItems Returns the items that need a loop now, by key.
@param createIteration Creates the iteration function of a new loop. Its state lives as long as the loop.
*/
export const createKeyedLoops = <Item>(
	currentItems: () => ReadonlyMap<string, Item>,
	createIteration: (item: Item) => LoopIteration,
): KeyedLoops => {
	const stops = new Map<string, () => void>();

	const run = (key: string, iterate: LoopIteration) => {
		let isStopped = false;
		let timer: NodeJS.Timeout | undefined;
		const next = async () => {
			const delayMs = await iterate(() => isStopped);
			if (!isStopped) {
				timer = setTimeout(() => {
					void next();
				}, delayMs);
			}
		};

		stops.set(key, () => {
			isStopped = true;
			clearTimeout(timer);
			stops.delete(key);
		});
		void next();
	};

	const stopAllExcept = (keys: ReadonlySet<string>) => {
		for (const [key, stop] of stops) {
			if (!keys.has(key)) {
				stop();
			}
		}
	};

	return {
		tick() {
			const items = currentItems();
			stopAllExcept(new Set(items.keys()));
			for (const [key, item] of items) {
				if (!stops.has(key)) {
					run(key, createIteration(item));
				}
			}
		},
		stop() {
			stopAllExcept(new Set());
		},
	};
};
