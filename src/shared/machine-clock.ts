import os from 'node:os';
import {performance} from 'node:perf_hooks';
import type {ClockSources} from './elapsed-clock.ts';

const secondMs = 1000;

/**
The clocks of the machine that this process runs on.
*/
export const machineClocks: ClockSources = {
	monotonic: () => performance.now(),
	wall: () => Date.now(),
	uptime: () => os.uptime() * secondMs,
};
