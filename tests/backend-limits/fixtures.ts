import {
	createBackendLimits,
	type BackendLimits,
	type BackendLimitsOptions,
} from '../../src/backend-limits/index.ts';
import {silentLogger} from '../../src/logging/index.ts';

/**
Creates the limits of the only node in a region.
*/
export const limitsOf = (
	change: Partial<BackendLimitsOptions> = {},
): BackendLimits =>
	createBackendLimits({
		self: 'node-1',
		peers: () => [],
		reachableFraction: () => 1,
		canUseLimitedServers: () => true,
		send: () => undefined,
		without: new Set(),
		logger: silentLogger,
		...change,
	});
