import type {Logger} from '../logging/index.ts';
import type {Controller} from './controller.ts';

/**
Runs a set of controllers through their lifecycle.
*/
export type ControllerHost = {
	add(controller: Controller): void;
	start(): Promise<void>;
	stop(): Promise<void>;
	/**
	 Checks whether the process was paused and, if so, notifies the controllers.
	 It is called by the timer and before each request, because after a pause a request can
	 be read before the timer fires.
	 */
	checkPause(): void;
};

/**
Interval between two ticks, in milliseconds.
*/
export const tickIntervalMs = 100;

/**
Minimum gap between two ticks that counts as a pause of the process, in milliseconds.
*/
export const pauseThresholdMs = 1500;

/**
Creates a host without controllers.
*/
export const createControllerHost = (
	clock: () => number,
	logger: Logger,
): ControllerHost => {
	const controllers: Controller[] = [];
	let timer: NodeJS.Timeout | undefined;
	let lastTick = clock();

	const notifyResumed = (now: number, pausedMs: number) => {
		logger.warn(
			{pausedMs},
			'process was paused; all known state is treated as stale',
		);
		for (const controller of controllers) {
			controller.resumed?.(now, pausedMs);
		}
	};

	const checkPause = () => {
		const now = clock();
		const gap = now - lastTick;
		if (!(timer && gap >= pauseThresholdMs)) {
			return;
		}

		lastTick = now;
		notifyResumed(now, gap);
	};

	const tick = () => {
		checkPause();
		const now = clock();
		lastTick = now;
		for (const controller of controllers) {
			controller.tick?.(now);
		}
	};

	return {
		add(controller) {
			controllers.push(controller);
		},
		async start() {
			for (const controller of controllers) {
				// Started sequentially, because a controller may depend on an earlier one.
				await controller.start?.();
			}

			lastTick = clock();
			timer = setInterval(tick, tickIntervalMs);
		},
		async stop() {
			clearInterval(timer);
			timer = undefined;
			for (const controller of controllers.toReversed()) {
				await controller.stop?.();
			}
		},
		checkPause,
	};
};
