/**
Defers requests until pending closes of their connections have been processed.
*/
export type RequestDeferral = {
	/**
	Calls `run` at once, or after pending closes were processed. The returned function cancels the call.

	@param run Handles the request.
	@param isFirst Whether it is the first request on its connection.
	*/
	schedule(run: () => void, isFirst: boolean): () => void;
};

/**
Delay of the event loop, in milliseconds, from which requests are deferred, because closes may be pending behind them.
It is far shorter than the half second after which nothing may be forwarded for a caller that has left, and longer than
a garbage collection.
*/
export const deferralLagMs = 100;

/**
Maximum time that a request is assumed to have waited in its socket, in milliseconds. Callers give up on a request that is not
read within a second.
*/
export const maximumSocketWaitMs = 1000;

/**
Estimates how long a request that is read now has waited in its socket, in milliseconds. While the event loop is late, requests
arrive long before they are read, and their time limits count from their arrival. They arrive at any moment of a late turn, so
they have waited for half of it on average.

@param lagMs Delay of the event loop in milliseconds; infinite while it is unknown.
*/
export const socketWaitOf = (lagMs: number): number =>
	Number.isFinite(lagMs) && lagMs >= deferralLagMs
		? Math.min(lagMs / 2, maximumSocketWaitMs)
		: 0;

/**
Creates a deferral.

A caller may have cancelled a request before this node reads it. The close is then pending in the same socket behind the
request, and the runtime reads it one turn of the event loop later. If the request were handled at once, it would be
forwarded although its caller has left. This happens when the event loop is late, and with the first request on a
connection that was attempted twice: a machine without power does not respond, the second attempt follows a second
later, and callers do not wait longer than that for their request to be read. On a small node that has just restarted,
closes are seen 15 to 54 ms after the requests (eight cases), and without the deferral 6 to 21 requests reach servers
more than half a second after their callers have left.

@param lagMs Delay of the event loop in milliseconds.
*/
export const createRequestDeferral = (
	lagMs: () => number,
): RequestDeferral => ({
	schedule(run, isFirst) {
		if (!isFirst && lagMs() < deferralLagMs) {
			run();
			return () => undefined;
		}

		let isCancelled = false;
		// The first callback ends the turn that read the request; the close has been read before the second one.
		setImmediate(() => {
			setImmediate(() => {
				if (!isCancelled) {
					run();
				}
			});
		});
		return () => {
			isCancelled = true;
		};
	},
});
