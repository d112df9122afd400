import type {Logger} from '../logging/index.ts';
import {maximumLeavingIncarnations} from '../registry/index.ts';
import {createBoundedSet} from '../shared/index.ts';
import {createServerBackoffs, type ServerBackoffs} from './server-backoffs.ts';
import type {StatementOrigin} from './statement-handler.ts';

/**
Shutdowns and backoffs that backend servers have announced, by incarnation.
*/
export type ServerAnnouncements = {
	/**
	Records that a server announced its shutdown.
	*/
	recordShutdown(origin: StatementOrigin): void;
	/**
	Records that a server requested a backoff from this node.
	*/
	recordBackoff(origin: StatementOrigin, backoffMs: number): void;
	readonly backoffs: Pick<
		ServerBackoffs,
		'remainingMs' | 'canSend' | 'recordAnswer' | 'hasAny'
	>;
	/**
	Records that a request is sent to a server.
	*/
	recordSend(incarnationId: string, now: number): void;
	/**
	Ends expired backoffs; called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: servers that announced a shutdown, servers in backoff, and requests sent to either.
	*/
	leavingServers(): number;
	serversInBackoff(now: number): number;
	sentToLeaving(): number;
	sentDuringBackoff(): number;
};

/**
Options of `createServerAnnouncements`.
*/
export type ServerAnnouncementsOptions = {
	readonly logger: Logger;
	/**
	Called once for each server incarnation that announces its shutdown.
	*/
	readonly onLeaving: (origin: StatementOrigin) => void;
	/**
	Returns a random number from 0 to 1.
	*/
	readonly randomFraction: () => number;
};

/**
Creates an empty set of announcements.
*/
export const createServerAnnouncements = ({
	logger,
	onLeaving,
	randomFraction,
}: ServerAnnouncementsOptions): ServerAnnouncements => {
	const leaving = createBoundedSet<string>(maximumLeavingIncarnations);
	const backoffs = createServerBackoffs(randomFraction);
	let sentToLeaving = 0;
	let sentDuringBackoff = 0;

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
				'backend server is shutting down',
			);
			onLeaving(origin);
		},
		recordBackoff({incarnationId, source, sentAt, receivedAt}, backoffMs) {
			const wasInBackoff = backoffs.begin(incarnationId, backoffMs, receivedAt);
			if (wasInBackoff) {
				return;
			}

			logger.info(
				{
					server: incarnationId,
					source,
					restMs: backoffMs,
					ageMs: Math.round(receivedAt - sentAt),
				},
				'backend server requested a backoff',
			);
		},
		recordSend(incarnationId, now) {
			sentToLeaving += leaving.has(incarnationId) ? 1 : 0;
			sentDuringBackoff += backoffs.remainingMs(incarnationId, now) > 0 ? 1 : 0;
		},
		tick(now) {
			for (const incarnationId of backoffs.tick(now)) {
				logger.info(
					{server: incarnationId, sentToResting: sentDuringBackoff},
					'backoff of a backend server ended',
				);
			}
		},
		leavingServers: leaving.size,
		serversInBackoff: backoffs.activeCount,
		sentToLeaving: () => sentToLeaving,
		sentDuringBackoff: () => sentDuringBackoff,
	};
};
