import type {Logger} from '../logging/index.ts';
import {maximumLeavingIncarnations} from '../registry/index.ts';
import {createBoundedSet} from '../shared/index.ts';
import {createServerBackoffs, type ServerBackoffs} from './server-backoffs.ts';
import type {StatementOrigin} from './statement-handler.ts';

/**
What backend servers have announced about receiving requests, by their lives.
*/
export type ServerAnnouncements = {
	/**
	A server announced that it is shutting down.
	*/
	recordShutdown(origin: StatementOrigin): void;
	/**
	A server asked this node to send nothing for a while.
	*/
	recordBackoff(origin: StatementOrigin, restMs: number): void;
	readonly backoffs: Pick<
		ServerBackoffs,
		'remainingMs' | 'canSend' | 'recordAnswer' | 'hasAny'
	>;
	/**
	A request is sent to a server.
	*/
	recordSend(life: string, now: number): void;
	/**
	Ends rests that are over; called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: servers that announced a shutdown, servers that rest, and requests sent to either.
	*/
	leavingServers(): number;
	serversInBackoff(now: number): number;
	sentToLeaving(): number;
	sentDuringBackoff(): number;
};

/**
What standings are built from.
*/
export type ServerAnnouncementsOptions = {
	readonly logger: Logger;
	/**
	Told once of each life of a server that announces its shutdown.
	*/
	readonly onLeaving: (origin: StatementOrigin) => void;
	/**
	A number from 0 to 1.
	*/
	readonly randomFraction: () => number;
};

/**
Builds standings of servers that have announced nothing.
*/
export const createServerAnnouncements = ({
	logger,
	onLeaving,
	randomFraction,
}: ServerAnnouncementsOptions): ServerAnnouncements => {
	const leaving = createBoundedSet<string>(maximumLeavingIncarnations);
	const backoffs = createServerBackoffs(randomFraction);
	let sentToLeaving = 0;
	let sentToResting = 0;

	return {
		backoffs,
		recordShutdown(origin) {
			const {incarnationId, source, sentAt, receivedAt} = origin;
			if (leaving.has(incarnationId)) {
				return;
			}

			leaving.add(incarnationId);
			logger.info(
				{server: incarnationId, source, ageMs: Math.round(receivedAt - sentAt)},
				'backend server leaves',
			);
			onLeaving(origin);
		},
		recordBackoff({incarnationId, source, sentAt, receivedAt}, restMs) {
			const wasResting = backoffs.begin(incarnationId, restMs, receivedAt);
			if (wasResting) {
				return;
			}

			logger.info(
				{
					server: incarnationId,
					source,
					restMs,
					ageMs: Math.round(receivedAt - sentAt),
				},
				'backend server rests',
			);
		},
		recordSend(incarnationId, now) {
			sentToLeaving += leaving.has(incarnationId) ? 1 : 0;
			sentToResting += backoffs.remainingMs(incarnationId, now) > 0 ? 1 : 0;
		},
		tick(now) {
			for (const incarnationId of backoffs.tick(now)) {
				logger.info(
					{server: incarnationId, sentToResting},
					'rest of a backend server ended',
				);
			}
		},
		leavingServers: leaving.size,
		serversInBackoff: backoffs.activeCount,
		sentToLeaving: () => sentToLeaving,
		sentDuringBackoff: () => sentToResting,
	};
};
