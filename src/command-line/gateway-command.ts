import process from 'node:process';
import {Command} from 'clipanion';
import {createGateway, productHeaders} from '../gateway/index.ts';
import {createStopRequest, runUntilStopped} from '../lifecycle/index.ts';
import {createAddressBinder} from '../listening/index.ts';
import {createLogger, startLogging} from '../logging/index.ts';
// Imported directly: the index of the folder does not export it, so that nodes with another registry source
// do not load its schemas.
import {createHttpRegistrySource} from '../registry/http-source.ts';
import {
	describeSettings,
	gatewaySettings,
	type GatewaySettings,
} from '../settings/index.ts';
import {exitCodes} from './exit-codes.ts';
import {SettingsCommand} from './settings-command.ts';

// Bounds over all nodes: two retries per ten requests in a window of 10 s plus a fixed allowance of 50, and
// the rate of requests to cold servers that their service sets, without overrun.
const bounds = {
	retryRatio: 0.2,
	retryWindowMs: 10_000,
	retrySlack: 50,
	coldOverrun: 1,
	coldSlack: 0,
	limitWindowMs: 10_000,
} as const;

/**
`quillford gateway`: runs a node that serves the routes of a registry until SIGTERM or SIGINT.
*/
export class GatewayCommand extends SettingsCommand<typeof gatewaySettings> {
	static override paths = [['gateway']];

	static override usage = Command.Usage({
		description: 'Run a node that serves the routes of a registry',
		details: `The node reads routes, services, backend servers and evacuated zones from a registry, see docs/REGISTRY.md. Every setting is a flag and an environment variable; the flag takes precedence.\n\n${describeSettings(gatewaySettings)}`,
		examples: [
			[
				'Run a node of zone abj-wuse',
				'quillford gateway --node-id abj-1 --availability-zone abj-wuse --zones abj-wuse=abuja,ibd-bodija=ibadan --caller-address 10.0.0.1:8000 --peer-address 10.0.0.1:8001 --registry-address 10.0.0.100:80',
			],
		],
	});

	constructor() {
		super(gatewaySettings);
	}

	protected async run(settings: GatewaySettings): Promise<number> {
		startLogging(settings.logLevel);
		const logger = createLogger('gateway', {node: settings.nodeId});
		const binder = createAddressBinder({
			logger,
			clock: () => performance.now(),
		});
		const gateway = createGateway({
			bind: binder.bind,
			...settings,
			memoryMb: settings.memoryMb === 0 ? undefined : settings.memoryMb,
			id: settings.nodeId,
			contactAddress: undefined,
			seeds: () => settings.seedPeers,
			registry: createHttpRegistrySource(settings.registryAddress, logger),
			caches: undefined,
			headers: productHeaders,
			bounds,
			logger,
		});
		const end = await runUntilStopped({
			start: gateway.start,
			complete: async () => undefined,
			drain: async () => gateway.drain(settings.drainTimeoutMs),
			close: gateway.stop,
			stopRequest: createStopRequest(process, binder.stop),
			logger,
		});
		return end.kind === 'stopped' && end.isIdle
			? exitCodes.ok
			: exitCodes.failure;
	}
}
