/**
Backoffs that backend servers requested from this node, by server incarnation. A backoff applies only to the node that received
the request.
*/
export type ServerBackoffs = {
	/**
	Begins a backoff that a server requested. It does not shorten a backoff in effect.

	@returns Whether the server was already in backoff.
	*/
	begin(incarnationId: string, backoffMs: number, now: number): boolean;
	/**
	Returns the milliseconds until the backoff of a server ends; 0 if it has none.
	*/
	remainingMs(incarnationId: string, now: number): number;
	/**
	Whether another request may be sent to a server. After a backoff, the allowed requests in flight double with each round of
	responses (slow start), so that delayed requests do not arrive all at once.

	@param inFlight Requests of this node in flight at the server.
	*/
	canSend(incarnationId: string, inFlight: number, now: number): boolean;
	/**
	Records that a server answered a request.
	*/
	recordAnswer(incarnationId: string, now: number): void;
	/**
	Whether any server is in backoff or slow start.
	*/
	hasAny(): boolean;
	/**
	Returns the number of servers in backoff.
	*/
	activeCount(now: number): number;
	/**
	Ends complete slow starts; called at each tick.

	@returns Ids of the incarnations whose backoff has ended since the last call.
	*/
	tick(now: number): readonly string[];
};

/**
Maximum number of backoffs; the oldest is evicted first.
*/
export const maximumBackoffs = 2000;

/**
Number of requests in flight at which a slow start is complete.
*/
export const slowStartMaximumInFlight = 64;

/**
Maximum duration of a slow start, in milliseconds. It applies if too few requests arrive to complete the slow start.
*/
export const maximumSlowStartMs = 10_000;

/**
Maximum jitter added to a backoff, as a fraction of its duration and in milliseconds. Without jitter, nodes that received the
request at the same time would resume at the same time.
*/
export const jitterFraction = 0.2;
export const maximumJitterMs = 500;

type Backoff = {
	until: number;
	hasEnded: boolean;
	answers: number;
};

/**
Creates an empty set of backoffs.

@param randomFraction Returns a random number from 0 to 1.
*/
export const createServerBackoffs = (
	randomFraction: () => number,
): ServerBackoffs => {
	const backoffs = new Map<string, Backoff>();

	const remainingMs = (incarnationId: string, now: number): number =>
		Math.max(0, (backoffs.get(incarnationId)?.until ?? -Infinity) - now);

	const isSlowStartComplete = (
		{until, answers}: Backoff,
		now: number,
	): boolean =>
		answers + 1 >= slowStartMaximumInFlight ||
		now - until >= maximumSlowStartMs;

	return {
		begin(incarnationId, backoffMs, now) {
			const jitterMs =
				Math.min(maximumJitterMs, backoffMs * jitterFraction) *
				randomFraction();
			const until = now + backoffMs + jitterMs;
			const known = backoffs.get(incarnationId);
			const wasInBackoff = known !== undefined && known.until > now;
			backoffs.delete(incarnationId);
			backoffs.set(incarnationId, {
				until: Math.max(until, known?.until ?? -Infinity),
				hasEnded: false,
				answers: 0,
			});
			if (backoffs.size > maximumBackoffs) {
				backoffs.delete(backoffs.keys().next().value!);
			}

			return wasInBackoff;
		},
		remainingMs,
		canSend(incarnationId, inFlight, now) {
			const backoff = backoffs.get(incarnationId);
			return (
				backoff === undefined ||
				(backoff.until <= now && inFlight <= backoff.answers)
			);
		},
		recordAnswer(incarnationId, now) {
			const backoff = backoffs.get(incarnationId);
			if (backoff && backoff.until <= now) {
				backoff.answers += 1;
			}
		},
		hasAny: () => backoffs.size > 0,
		activeCount: (now) =>
			backoffs
				.values()
				.filter(({until}) => until > now)
				.toArray().length,
		tick(now) {
			const ended: string[] = [];
			for (const [incarnationId, backoff] of backoffs) {
				if (backoff.until > now) {
					continue;
				}

				if (!backoff.hasEnded) {
					backoff.hasEnded = true;
					ended.push(incarnationId);
				}

				if (isSlowStartComplete(backoff, now)) {
					backoffs.delete(incarnationId);
				}
			}

			return ended;
		},
	};
};
