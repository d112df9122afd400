import type {Logger} from '../logging/index.ts';
import type {StopRequest} from './stop-request.ts';

/**
What the process of a node starts and ends.
*/
export type NodeLifecycle = {
	/**
	Starts to serve callers. Nothing of it serves them if it throws.
	*/
	readonly start: () => Promise<void>;
	/**
	Starts the rest.
	*/
	readonly complete: () => Promise<void>;
	/**
	Stops accepting callers. Resolves with whether all requests have ended in time.
	*/
	readonly drain: () => Promise<boolean>;
	readonly close: () => Promise<unknown>;
	readonly stopRequest: StopRequest;
	readonly logger: Logger;
};

/**
How a node ended.
*/
export type NodeEnd =
	| {readonly kind: 'stopped'; readonly isIdle: boolean}
	/**
	It could not start. The process must end, because nothing starts again what is still running.
	*/
	| {readonly kind: 'failed'; readonly reason: string};

/**
Starts a node, and stops it when it is asked to or cannot start.
*/
export const runUntilStopped = async ({
	start,
	complete,
	drain,
	close,
	stopRequest,
	logger,
}: NodeLifecycle): Promise<NodeEnd> => {
	let isServing = false;
	let isIdle = true;

	const shutDown = async (reason: string) => {
		logger.info({reason}, 'stop requested');
		isIdle = await drain();
		logger.info({isIdle}, 'stopped');
	};

	try {
		await start();
		isServing = true;
		await complete();
	} catch (error) {
		const reason = (error as Error).message;
		if (!stopRequest.isReceived()) {
			logger.error({fault: reason}, 'node failed to start');
		}

		if (isServing) {
			await shutDown(reason);
		}

		await close();
		return stopRequest.isReceived()
			? {kind: 'stopped', isIdle}
			: {kind: 'failed', reason};
	}

	await shutDown(await stopRequest.received);
	await close();
	return {kind: 'stopped', isIdle};
};
