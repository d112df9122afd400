/**
Calls that are held until there is something to answer.
*/
export type LongPollWaiters = {
	/**
	Resolves when `release` is called, or when the longest wait is over.
	*/
	wait(longestMs: number): Promise<void>;
	release(): void;
};

/**
Builds a holder of no calls.
*/
export const createLongPollWaiters = (): LongPollWaiters => {
	const held = new Set<() => void>();
	return {
		wait: async (longestMs) =>
			new Promise<void>((resolve) => {
				const done = () => {
					clearTimeout(timer);
					held.delete(done);
					resolve();
				};

				const timer = setTimeout(done, longestMs);
				held.add(done);
			}),
		release() {
			for (const done of held) {
				done();
			}
		},
	};
};
