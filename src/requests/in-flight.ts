/**
Counts requests in flight.
*/
export type InFlight = {
	begin(): void;
	end(): void;
	count(): number;
	/**
	Resolves to true when no request is in flight, or to false after the time-out.
	*/
	waitUntilIdle(timeoutMs: number): Promise<boolean>;
};

/**
Creates a counter that starts at zero.
*/
export const createInFlight = (): InFlight => {
	let count = 0;
	let waiting: Array<() => void> = [];
	return {
		begin() {
			count += 1;
		},
		end() {
			count -= 1;
			if (count > 0) {
				return;
			}

			const resumers = waiting;
			waiting = [];
			for (const resume of resumers) {
				resume();
			}
		},
		count: () => count,
		async waitUntilIdle(timeoutMs) {
			if (count === 0) {
				return true;
			}

			return new Promise((resolve) => {
				const timer = setTimeout(resolve, timeoutMs, false);
				waiting.push(() => {
					clearTimeout(timer);
					resolve(true);
				});
			});
		},
	};
};
