import os from 'node:os';
import {performance} from 'node:perf_hooks';
import {createElapsedClock, type ElapsedClock} from './elapsed-clock.ts';

const secondMs = 1000;

/**
Builds the clock by which a node measures ages and deadlines on this machine.

@param onSuspended Told how long the machine was suspended, in milliseconds.
*/
export const createMachineClock = (
	onSuspended: (ms: number) => void,
): ElapsedClock =>
	createElapsedClock(
		{
			steady: () => performance.now(),
			wall: () => Date.now(),
			uptime: () => os.uptime() * secondMs,
		},
		onSuspended,
	);
