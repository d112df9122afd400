/**
Long-poll calls that are waiting for data.
*/
export type LongPollWaiters = {
	/**
	Resolves when `release` is called or the timeout expires.
	*/
	wait(timeoutMs: number): Promise<void>;
	release(): void;
};

/**
Creates an empty collection of long-poll waiters.
*/
export const createLongPollWaiters = (): LongPollWaiters => {
	const waiters = new Set<() => void>();
	return {
		wait: async (timeoutMs) =>
			new Promise<void>((resolve) => {
				const resolveWaiter = () => {
					clearTimeout(timer);
					waiters.delete(resolveWaiter);
					resolve();
				};

				const timer = setTimeout(resolveWaiter, timeoutMs);
				waiters.add(resolveWaiter);
			}),
		release() {
			for (const resolveWaiter of waiters) {
				resolveWaiter();
			}
		},
	};
};
