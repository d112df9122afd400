/**
The rests that backend servers asked this node for, by their lives. A rest binds the node that was asked, and no other.
*/
export type ServerBackoffs = {
	/**
	A server asked for a rest. The longest that was asked for holds.

	@returns Whether it rested already.
	*/
	begin(life: string, restMs: number, now: number): boolean;
	/**
	Milliseconds until a server may be sent anything; 0 where it may be now.
	*/
	remainingMs(life: string, now: number): number;
	/**
	Whether one more request may be sent to a server. After a rest the allowed requests in flight double with each round of
	answers (slow start), so that those that were held back do not arrive all at once.

	@param inFlight Requests of this node in flight at the server.
	*/
	canSend(life: string, inFlight: number, now: number): boolean;
	/**
	A server answered a request.
	*/
	recordAnswer(life: string, now: number): void;
	/**
	Whether any server rests, or returns from a rest.
	*/
	hasAny(): boolean;
	/**
	Servers that rest.
	*/
	activeCount(now: number): number;
	/**
	Ends returns that are complete; called at each tick.

	@returns The lives whose rest has ended since the last call.
	*/
	tick(now: number): readonly string[];
};

/**
Servers whose rests are remembered; the earliest is forgotten first.
*/
export const maximumBackoffs = 2000;

/**
Requests under way with which a server has returned from its rest.
*/
export const slowStartMaximumInFlight = 64;

/**
A return without enough requests to complete it ends after this time, in milliseconds.
*/
export const maximumSlowStartMs = 10_000;

/**
Nodes begin to send again within this part of the rest after its end, and within this time in milliseconds: they were asked at
the same moment.
*/
export const jitterFraction = 0.2;
export const maximumJitterMs = 500;

type Rest = {
	until: number;
	hasEnded: boolean;
	answers: number;
};

/**
Builds an empty set of rests.

@param randomFraction A number from 0 to 1.
*/
export const createServerBackoffs = (
	randomFraction: () => number,
): ServerBackoffs => {
	const rests = new Map<string, Rest>();

	const remainingMs = (life: string, now: number): number =>
		Math.max(0, (rests.get(life)?.until ?? -Infinity) - now);

	const isComplete = ({until, answers}: Rest, now: number): boolean =>
		answers + 1 >= slowStartMaximumInFlight ||
		now - until >= maximumSlowStartMs;

	return {
		begin(life, restMs, now) {
			const spreadMs =
				Math.min(maximumJitterMs, restMs * jitterFraction) * randomFraction();
			const until = now + restMs + spreadMs;
			const known = rests.get(life);
			const wasResting = known !== undefined && known.until > now;
			rests.delete(life);
			rests.set(life, {
				until: Math.max(until, known?.until ?? -Infinity),
				hasEnded: false,
				answers: 0,
			});
			if (rests.size > maximumBackoffs) {
				rests.delete(rests.keys().next().value!);
			}

			return wasResting;
		},
		remainingMs,
		canSend(life, inFlight, now) {
			const rest = rests.get(life);
			return (
				rest === undefined || (rest.until <= now && inFlight <= rest.answers)
			);
		},
		recordAnswer(life, now) {
			const rest = rests.get(life);
			if (rest && rest.until <= now) {
				rest.answers += 1;
			}
		},
		hasAny: () => rests.size > 0,
		activeCount: (now) =>
			rests
				.values()
				.filter(({until}) => until > now)
				.toArray().length,
		tick(now) {
			const ended: string[] = [];
			for (const [life, rest] of rests) {
				if (rest.until > now) {
					continue;
				}

				if (!rest.hasEnded) {
					rest.hasEnded = true;
					ended.push(life);
				}

				if (isComplete(rest, now)) {
					rests.delete(life);
				}
			}

			return ended;
		},
	};
};
