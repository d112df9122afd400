/**
A request that waits for a free slot.
*/
export type Waiter<Item> = {
	readonly item: Item;
	/**
	From 0 to 9; higher priorities go first.
	*/
	readonly priority: number;
	/**
	Deadline by the clock of this node, in milliseconds.
	*/
	readonly deadline: number;
	readonly clientName: string;
};

/**
Result of adding a request to the queue.
*/
export type EnqueueResult<Item> =
	| {readonly kind: 'waiting'}
	| {readonly kind: 'full'}
	| {readonly kind: 'displaced'; readonly waiter: Waiter<Item>};

/**
A bounded queue of waiting requests, ordered by priority and then by deadline.
*/
export type WaitQueue<Item> = {
	enqueue(waiter: Waiter<Item>): EnqueueResult<Item>;
	/**
	Removes and returns the first waiter whose item passes the test.
	*/
	takeFirst(isWanted: (item: Item) => boolean): Waiter<Item> | undefined;
	/**
	Removes and returns the waiters whose deadlines have passed.
	*/
	takeExpired(now: number): ReadonlyArray<Waiter<Item>>;
	remove(item: Item): boolean;
	length(): number;
};

/**
 Creates an empty queue.
 
 One client may hold at most half of the places, so that excess requests of one client
 are rejected as `overloaded` before they displace those of other clients.
 */
export const createWaitQueue = <Item>(capacity: number): WaitQueue<Item> => {
	let waiters: ReadonlyArray<Waiter<Item>> = [];

	const countOf = (clientName: string) =>
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
			if (countOf(waiter.clientName) >= Math.max(1, capacity / 2)) {
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
