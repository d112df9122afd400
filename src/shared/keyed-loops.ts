/**
One turn of a loop; resolves with the pause until the next turn, in milliseconds.
*/
export type LoopIteration = (isOver: () => boolean) => Promise<number>;

/**
Loops that run one for each key, and begin and end as keys come and go.
*/
export type KeyedLoops = {
	/**
	Begins and ends loops; to be called again and again.
	*/
	tick(): void;
	stop(): void;
};

/**
Builds loops that do not run yet.

@param wanted What to run a loop for now, by key.
@param begin Builds the turn of a new loop; its state lives as long as the loop.
*/
export const createKeyedLoops = <Item>(
	wanted: () => ReadonlyMap<string, Item>,
	begin: (item: Item) => LoopIteration,
): KeyedLoops => {
	const ends = new Map<string, () => void>();

	const run = (key: string, turn: LoopIteration) => {
		let isOver = false;
		let timer: NodeJS.Timeout | undefined;
		const next = async () => {
			const pauseMs = await turn(() => isOver);
			if (!isOver) {
				timer = setTimeout(() => {
					void next();
				}, pauseMs);
			}
		};

		ends.set(key, () => {
			isOver = true;
			clearTimeout(timer);
			ends.delete(key);
		});
		void next();
	};

	const endAllBut = (keys: ReadonlySet<string>) => {
		for (const [key, end] of ends) {
			if (!keys.has(key)) {
				end();
			}
		}
	};

	return {
		tick() {
			const items = wanted();
			endAllBut(new Set(items.keys()));
			for (const [key, item] of items) {
				if (!ends.has(key)) {
					run(key, begin(item));
				}
			}
		},
		stop() {
			endAllBut(new Set());
		},
	};
};
