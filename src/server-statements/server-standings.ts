import type {Logger} from '../logging/index.ts';
import {maximumLeavingLives} from '../registry/index.ts';
import {createBoundedSet} from '../shared/index.ts';
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

type Rest = {
	until: number;
	sent: number;
};

/**
What standings are built from.
*/
export type ServerStandingsOptions = {
	readonly logger: Logger;
	/**
	Told once of each life of a server that announces its shutdown.
	*/
	readonly onLeaving: (server: string, life: string) => void;
};

/**
Builds standings of which none is known.
*/
export const createServerStandings = ({
	logger,
	onLeaving,
}: ServerStandingsOptions): ServerStandings => {
	const leaving = createBoundedSet<string>(maximumLeavingLives);
	const rests = new Map<string, Rest>();
	let sentToLeaving = 0;
	let sentToResting = 0;

	return {
		leaves({server, life, source, sentAt, receivedAt}) {
			if (leaving.has(life)) {
				return;
			}

			leaving.add(life);
			logger.info(
				{server: life, source, ageMs: Math.round(receivedAt - sentAt)},
				'backend server leaves',
			);
			onLeaving(server, life);
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
		leavingServers: leaving.size,
		restingServers: () => rests.size,
		sentToLeaving: () => sentToLeaving,
		sentToResting: () => sentToResting,
	};
};
