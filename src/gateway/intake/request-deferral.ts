/**
Lets closes of connections be seen before the requests that came over them are taken.
*/
export type RequestDeferral = {
	/**
	Runs at once, or when closes that have arrived were seen; returns what keeps it from running.

	@param run What takes the request.
	@param isFirst Whether it is the first request of its connection.
	*/
	schedule(run: () => void, isFirst: boolean): () => void;
};

/**
From this delay of the event loop on, closes may have arrived with the requests that are read, in milliseconds:
far less than the half second in which nothing may be sent on for a caller that has left, and more than a
collection of garbage takes.
*/
export const deferralLagMs = 100;

/**
Builds it.

A caller may have given up a request before this node reads it; the close then lies in the same socket behind the
request, and the runtime reads it one turn of the loop later. Taken at once, the request is sent on for nobody. It is so
where the loop is late, and for the first request of a connection that had to be asked for twice: a machine without
power answers nothing, the second try comes a second later, and that is as long as callers wait to be read. On a
small node that had just restarted the closes were seen 15 to 54 ms after the requests (eight in its log), and by way of
it 6 to 21 requests reached servers over half a second after their callers had left.

@param lagMs How late the event loop is.
*/
export const createRequestDeferral = (
	lagMs: () => number,
): RequestDeferral => ({
	schedule(run, isFirst) {
		if (!isFirst && lagMs() < deferralLagMs) {
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
