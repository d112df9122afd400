import type {Logger} from '../logging/index.ts';
import type {StatementOrigin} from './statement-intake.ts';

/**
What backend servers have announced about receiving requests, by their lives.
*/
export type ServerStandings = {
	/**
	A server announced that it is shutting down.
	*/
	leaves(origin: StatementOrigin): void;
	/**
	A server asked this node to send nothing for a while.
	*/
	asksForRest(origin: StatementOrigin, restMs: number): void;
	/**
	A request is sent to a server.
	*/
	sent(life: string, now: number): void;
	/**
	Ends rests that are over; called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: servers that announced a shutdown, servers that rest, and requests sent to either.
	*/
	leavingServers(): number;
	restingServers(): number;
	sentToLeaving(): number;
	sentToResting(): number;
};

/**
Lives whose shutdown is remembered; the earliest is forgotten first. A life never returns from its shutdown, so nothing else
ends the memory.
*/
export const maximumLeavingLives = 2000;

type Rest = {
	until: number;
	sent: number;
};

/**
Builds standings of which none is known.
*/
export const createServerStandings = (logger: Logger): ServerStandings => {
	const leaving = new Set<string>();
	const rests = new Map<string, Rest>();
	let sentToLeaving = 0;
	let sentToResting = 0;

	return {
		leaves({life, source, sentAt, receivedAt}) {
			if (leaving.has(life)) {
				return;
			}

			leaving.add(life);
			if (leaving.size > maximumLeavingLives) {
				leaving.delete(leaving.values().next().value!);
			}

			logger.info(
				{server: life, source, ageMs: Math.round(receivedAt - sentAt)},
				'backend server leaves',
			);
		},
		asksForRest({life, source, sentAt, receivedAt}, restMs) {
			const known = rests.get(life);
			const until = receivedAt + restMs;
			if (known) {
				known.until = Math.max(known.until, until);
				return;
			}

			rests.set(life, {until, sent: 0});
			logger.info(
				{
					server: life,
					source,
					restMs,
					ageMs: Math.round(receivedAt - sentAt),
				},
				'backend server rests',
			);
		},
		sent(life, now) {
			sentToLeaving += leaving.has(life) ? 1 : 0;
			const rest = rests.get(life);
			if (!rest || rest.until <= now) {
				return;
			}

			rest.sent += 1;
			sentToResting += 1;
		},
		tick(now) {
			for (const [life, {until, sent}] of rests) {
				if (until > now) {
					continue;
				}

				rests.delete(life);
				logger.info({server: life, sent}, 'rest of a backend server ended');
			}
		},
		leavingServers: () => leaving.size,
		restingServers: () => rests.size,
		sentToLeaving: () => sentToLeaving,
		sentToResting: () => sentToResting,
	};
};
