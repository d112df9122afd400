import process from 'node:process';
import {Command} from 'clipanion';
import {startAdministrationServer} from '../administration/index.ts';
import {startCallerServer} from '../callers/index.ts';
import {createLogger, startLogging, type Logger} from '../logging/index.ts';
import {createNode, type GatewayNode} from '../node/index.ts';
import {
	describeSettings,
	serveSettings,
	type ServeSettings,
} from '../settings/index.ts';
import {exitCodes} from './exit-codes.ts';
import {SettingsCommand} from './settings-command.ts';

type Closable = {close(): Promise<void>};

// Time that listeners stay open after the drain. Callers whose next request is already in flight
// receive an error response instead of a connection reset.
const listenerLingerMs = 500;

/**
`quillford serve`: runs an entry node until SIGTERM, SIGINT or a drain call.
*/
export class ServeCommand extends SettingsCommand<typeof serveSettings> {
	static override paths = [['serve']];

	static override usage = Command.Usage({
		description: 'Run an entry node',
		details: `Every setting is a flag and an environment variable; the flag takes precedence.\n\n${describeSettings(serveSettings)}`,
		examples: [
			[
				'Run a node of zone abj-wuse',
				'quillford serve --node-id abj-1 --availability-zone abj-wuse --caller-address 10.0.0.1:8000 --peer-address 10.0.0.1:8001 --administration-address 10.0.0.1:8002 --platform-address 10.0.0.100:80',
			],
		],
	});

	constructor() {
		super(serveSettings);
	}

	protected async run(settings: ServeSettings): Promise<number> {
		startLogging(settings.logLevel);
		const logger = createLogger('node', {node: settings.nodeId});
		const node = createNode(settings, logger);
		return runUntilStopped(node, logger);
	}
}

const runUntilStopped = async (
	node: GatewayNode,
	logger: Logger,
): Promise<number> => {
	const {promise, resolve} = Promise.withResolvers<string>();
	process.on('SIGTERM', () => {
		resolve('SIGTERM');
	});
	process.on('SIGINT', () => {
		resolve('SIGINT');
	});
	const servers: Closable[] = [];
	try {
		await node.start();
		servers.push(
			await startAdministrationServer(node, () => {
				resolve('drain');
			}),
			await startCallerServer(node),
		);
	} catch (error) {
		logger.error({fault: (error as Error).message}, 'node failed to start');
		await closeAll(servers);
		await node.stop();
		return exitCodes.failure;
	}

	logger.info({callerAddress: node.settings.callerAddress}, 'serving');
	const reason = await promise;
	logger.info({reason}, 'graceful shutdown started');
	const isIdle = await node.drain();
	await new Promise((done) => {
		setTimeout(done, listenerLingerMs);
	});
	await closeAll(servers);
	await node.stop();
	logger.info({isIdle}, 'stopped');
	return isIdle ? exitCodes.ok : exitCodes.failure;
};

const closeAll = async (servers: readonly Closable[]): Promise<void> => {
	await Promise.all(servers.map(async (server) => server.close()));
};
