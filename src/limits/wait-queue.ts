/**
A request that waits for a free slot.
*/
export type Waiter<Item> = {
	readonly item: Item;
	/**
	From 0 to 9; higher goes first.
	*/
	readonly priority: number;
	/**
	By the clock of this node, in milliseconds.
	*/
	readonly deadline: number;
	readonly clientName: string;
};

/**
What happened to a request that asked to wait.
*/
export type EnqueueResult<Item> =
	| {readonly kind: 'waiting'}
	| {readonly kind: 'full'}
	| {readonly kind: 'displaced'; readonly waiter: Waiter<Item>};

/**
A short line of waiting requests, ordered by priority and then by deadline.
*/
export type WaitQueue<Item> = {
	enqueue(waiter: Waiter<Item>): EnqueueResult<Item>;
	/**
	Removes and returns the first that passes the test.
	*/
	takeFirst(isWanted: (item: Item) => boolean): Waiter<Item> | undefined;
	/**
	Removes and returns those whose deadline has passed.
	*/
	takeExpired(now: number): ReadonlyArray<Waiter<Item>>;
	remove(item: Item): boolean;
	length(): number;
};

/**
 Builds an empty line.
 
 One client may hold at most half of the places, so that a greedy client's requests
 are answered `overloaded` before they crowd out the others.
 */
export const createWaitQueue = <Item>(capacity: number): WaitQueue<Item> => {
	let waiters: ReadonlyArray<Waiter<Item>> = [];

	const heldBy = (clientName: string) =>
		waiters.filter((waiter) => waiter.clientName === clientName).length;

	const insert = (waiter: Waiter<Item>) => {
		waiters = [...waiters, waiter].toSorted((left, right) =>
			right.priority === left.priority
				? left.deadline - right.deadline
				: right.priority - left.priority,
		);
	};

	return {
		enqueue(waiter) {
			if (heldBy(waiter.clientName) >= Math.max(1, capacity / 2)) {
				return {kind: 'full'};
			}

			if (waiters.length < capacity) {
				insert(waiter);
				return {kind: 'waiting'};
			}

			const last = waiters.at(-1);
			if (!last || last.priority >= waiter.priority) {
				return {kind: 'full'};
			}

			waiters = waiters.slice(0, -1);
			insert(waiter);
			return {kind: 'displaced', waiter: last};
		},
		takeFirst(isWanted) {
			const found = waiters.find(({item}) => isWanted(item));
			if (found) {
				waiters = waiters.filter((waiter) => waiter !== found);
			}

			return found;
		},
		takeExpired(now) {
			const expired = waiters.filter(({deadline}) => deadline <= now);
			waiters = waiters.filter(({deadline}) => deadline > now);
			return expired;
		},
		remove(item) {
			const before = waiters.length;
			waiters = waiters.filter((waiter) => waiter.item !== item);
			return waiters.length < before;
		},
		length: () => waiters.length,
	};
};
