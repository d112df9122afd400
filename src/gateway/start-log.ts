import type {Logger} from '../logging/index.ts';

/**
Logs when a node that has started first knows what it needs to serve requests.
*/
export type StartLog = {
	/**
	Must be called when the routes or servers that the node knows have changed.
	*/
	changed(): void;
};

/**
Options of `createStartLog`.
*/
export type StartLogOptions = {
	readonly logger: Logger;
	/**
	Milliseconds of a monotonic clock.
	*/
	readonly clock: () => number;
	/**
	Version of the routes; undefined while none are known.
	*/
	readonly routesVersion: () => number | undefined;
	/**
	Number of usable backend servers of this region.
	*/
	readonly servers: () => number;
};

/**
Creates the log of a node that starts now.
*/
export const createStartLog = ({
	logger,
	clock,
	routesVersion,
	servers,
}: StartLogOptions): StartLog => {
	const startedAt = clock();
	let hasRoutes = false;
	let hasServers = false;

	return {
		changed() {
			const sinceStartMs = Math.round(clock() - startedAt);
			const version = routesVersion();
			if (!hasRoutes && version !== undefined) {
				hasRoutes = true;
				logger.info({sinceStartMs, version}, 'first routes received');
			}

			if (hasServers || servers() === 0) {
				return;
			}

			hasServers = true;
			logger.info(
				{sinceStartMs, servers: servers()},
				'first backend servers received',
			);
		},
	};
};
