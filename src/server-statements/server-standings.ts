import type {Logger} from '../logging/index.ts';
import {maximumLeavingLives} from '../registry/index.ts';
import {createBoundedSet} from '../shared/index.ts';
import {createServerRests, type ServerRests} from './server-rests.ts';
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
	readonly rests: Pick<
		ServerRests,
		'leftMs' | 'hasRoom' | 'answered' | 'areThere'
	>;
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
	restingServers(now: number): number;
	sentToLeaving(): number;
	sentToResting(): number;
};

/**
What standings are built from.
*/
export type ServerStandingsOptions = {
	readonly logger: Logger;
	/**
	Told once of each life of a server that announces its shutdown.
	*/
	readonly onLeaving: (origin: StatementOrigin) => void;
	/**
	A number from 0 to 1.
	*/
	readonly draw: () => number;
};

/**
Builds standings of servers that have announced nothing.
*/
export const createServerStandings = ({
	logger,
	onLeaving,
	draw,
}: ServerStandingsOptions): ServerStandings => {
	const leaving = createBoundedSet<string>(maximumLeavingLives);
	const rests = createServerRests(draw);
	let sentToLeaving = 0;
	let sentToResting = 0;

	return {
		rests,
		leaves(origin) {
			const {life, source, sentAt, receivedAt} = origin;
			if (leaving.has(life)) {
				return;
			}

			leaving.add(life);
			logger.info(
				{server: life, source, ageMs: Math.round(receivedAt - sentAt)},
				'backend server leaves',
			);
			onLeaving(origin);
		},
		asksForRest({life, source, sentAt, receivedAt}, restMs) {
			const wasResting = rests.begin(life, restMs, receivedAt);
			if (wasResting) {
				return;
			}

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
			sentToResting += rests.leftMs(life, now) > 0 ? 1 : 0;
		},
		tick(now) {
			for (const life of rests.tick(now)) {
				logger.info(
					{server: life, sentToResting},
					'rest of a backend server ended',
				);
			}
		},
		leavingServers: leaving.size,
		restingServers: rests.resting,
		sentToLeaving: () => sentToLeaving,
		sentToResting: () => sentToResting,
	};
};
