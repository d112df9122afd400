/**
A request that waits until a backend server has room.
*/
export type WaitingRequest = {
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	readonly since: number;
	/**
	When it is refused at the latest, by the node's clock in milliseconds.
	*/
	readonly until: number;
	/**
	Requests with the same key have the same servers to go to.
	*/
	readonly roomKey: string;
	/**
	Tries to send it; false while there is still no room.
	*/
	readonly attempt: () => boolean;
	readonly giveUp: () => void;
};

/**
Requests in the order of their urgency, and then of their arrival.
*/
export type WaitingRequests = {
	add(request: WaitingRequest): void;
	leave(request: WaitingRequest): void;
	/**
	Sends those for which there is room.
	*/
	pump(): void;
	/**
	Refuses those that have waited for as long as they may.
	*/
	expire(now: number): void;
	length(): number;
};

/**
Builds an empty line.
*/
export const createWaitingRequests = (): WaitingRequests => {
	let line: readonly WaitingRequest[] = [];
	let isPumping = false;

	const leave = (request: WaitingRequest) => {
		line = line.filter((each) => each !== request);
	};

	return {
		add(request) {
			line = [...line, request].toSorted((left, right) =>
				left.priority === right.priority
					? left.since - right.since
					: left.priority - right.priority,
			);
		},
		leave,
		pump() {
			// An attempt may free a place at once and so call back in here.
			if (isPumping || line.length === 0) {
				return;
			}

			isPumping = true;
			// Where the first of a kind finds no room the others find none, and each try looks at all
			// servers: under load the line is long and is gone through at every end of a request.
			const full = new Set<string>();
			for (const request of line) {
				if (full.has(request.roomKey)) {
					continue;
				}

				if (request.attempt()) {
					leave(request);
				} else {
					full.add(request.roomKey);
				}
			}

			isPumping = false;
		},
		expire(now) {
			const expired = line.filter(({until}) => until <= now);
			for (const request of expired) {
				leave(request);
				request.giveUp();
			}
		},
		length: () => line.length,
	};
};
