/**
Lets closes of connections be seen before the requests that came over them are taken.
*/
export type ClosesFirst = {
	/**
	Runs at once, or when closes that have arrived were seen; returns what keeps it from running.
	*/
	take(run: () => void): () => void;
};

/**
From this delay of the event loop on, closes may have arrived with the requests that are read, in milliseconds:
far less than the half second in which nothing may be sent on for a caller that has left, and more than a
collection of garbage takes.
*/
export const lateLoopMs = 100;

/**
Builds it.

A node whose loop is late reads a request long after it came. If its caller has given up meanwhile, the close lies
in the same socket behind the request, and the runtime reads it one turn of the loop later: taken at once, the
request would be sent on for nobody. On a small node under a rush of callers requests reached servers 0.5 s after
their callers had left.

@param lagMs How late the event loop is.
*/
export const createClosesFirst = (lagMs: () => number): ClosesFirst => ({
	take(run) {
		if (lagMs() < lateLoopMs) {
			run();
			return () => undefined;
		}

		let isOver = false;
		// The first turn ends the one that read the request, the second has read the close.
		setImmediate(() => {
			setImmediate(() => {
				if (!isOver) {
					run();
				}
			});
		});
		return () => {
			isOver = true;
		};
	},
});
