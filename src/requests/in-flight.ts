/**
Counts requests that have begun and not yet ended.
*/
export type InFlight = {
	begin(): void;
	end(): void;
	count(): number;
	/**
	Resolves when none is left, or false once the time is up.
	*/
	waitUntilIdle(timeoutMs: number): Promise<boolean>;
};

/**
Builds a count of zero.
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

			const resolved = waiting;
			waiting = [];
			for (const resume of resolved) {
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
