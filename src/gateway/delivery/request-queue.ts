/**
A request that waits until a backend server has room.
*/
export type QueuedRequest = {
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	readonly queuedAt: number;
	/**
	When an answer comes late, by the node's clock in milliseconds.
	*/
	readonly targetAt: number;
	/**
	When it is refused at the latest.
	*/
	readonly expiresAt: number;
	readonly service: string;
	/**
	Requests with the same key have the same servers to go to.
	*/
	readonly placementKey: string;
	/**
	Milliseconds until it is likely to get room if so many go before it.
	*/
	readonly capacityWaitMs: (before: number) => number;
	/**
	Tries to send it; false while there is still no room.
	*/
	readonly trySend: () => boolean;
	readonly giveUp: () => void;
};

/**
Requests in the order of their urgency; of equals those first that may still come in time, and then those
that came first.
*/
export type RequestQueue = {
	add(request: QueuedRequest): void;
	remove(request: QueuedRequest): void;
	/**
	Sends those for which there is room.
	*/
	dispatch(now: number): void;
	/**
	Refuses those that have waited for as long as they may, and those that will not get room in time.

	@param isHopeless Judges a request by how many of its service are before it.
	*/
	expire(
		now: number,
		isHopeless: (request: QueuedRequest, before: number) => boolean,
	): void;
	/**
	How many requests of a service go before a new one of this priority.
	*/
	countAhead(service: string, priority: number): number;
	length(): number;
};

/**
Builds an empty line.
*/
export const createRequestQueue = (): RequestQueue => {
	let line: readonly QueuedRequest[] = [];
	let isPumping = false;

	const remove = (request: QueuedRequest) => {
		line = line.filter((each) => each !== request);
	};

	return {
		add(request) {
			line = [...line, request];
		},
		remove,
		dispatch(now) {
			// An attempt may free a place at once and so call back in here.
			if (isPumping || line.length === 0) {
				return;
			}

			isPumping = true;
			line = inOrder(line, now);
			// Where the first of a kind finds no room the others find none, and each try looks at all
			// servers: under load the line is long and is gone through at every end of a request.
			const full = new Set<string>();
			for (const request of line) {
				if (full.has(request.placementKey)) {
					continue;
				}

				if (request.trySend()) {
					remove(request);
				} else {
					full.add(request.placementKey);
				}
			}

			isPumping = false;
		},
		expire(now, isHopeless) {
			const before = new Map<string, number>();
			for (const request of inOrder(line, now)) {
				const count = before.get(request.service) ?? 0;
				if (request.expiresAt <= now || isHopeless(request, count)) {
					remove(request);
					request.giveUp();
				} else {
					before.set(request.service, count + 1);
				}
			}
		},
		countAhead: (service, priority) =>
			line.filter(
				(each) => each.service === service && each.priority <= priority,
			).length,
		length: () => line.length,
	};
};

// Who is late already stands back: served before the others it would make those late too.
const inOrder = (
	line: readonly QueuedRequest[],
	now: number,
): readonly QueuedRequest[] => {
	const rankOf = ({targetAt}: QueuedRequest) => (targetAt <= now ? 1 : 0);
	return line.toSorted((left, right) => {
		const byPriority = left.priority - right.priority;
		const byRank = rankOf(left) - rankOf(right);
		return byPriority === 0
			? byRank === 0
				? left.queuedAt - right.queuedAt
				: byRank
			: byPriority;
	});
};
