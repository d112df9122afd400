import {randomInt} from 'node:crypto';
import {createServer, type ServerResponse} from 'node:http';
import {
	createGateway,
	type Gateway,
	type GatewayOptions,
	type WireHeaders,
} from '../src/gateway/index.ts';
import {createLogger} from '../src/logging/index.ts';
import type {
	RegisteredServer,
	RegistryAnswer,
	RegistryItem,
	RegistrySource,
	RegistryValue,
} from '../src/registry/index.ts';
import type {RouteDocument} from '../src/routes/index.ts';
import {createHeldCalls, type Address} from '../src/shared/index.ts';
import {closeServer, listenAt} from './http-server.ts';

/**
Header names of a made-up deployment.
*/
export const standInHeaders: WireHeaders = {
	requestId: 'x-test-id',
	remainingMs: 'x-test-remaining',
	signature: 'x-test-signature',
	expectedServer: 'x-test-expected',
	notRun: 'x-test-not-run',
	promptParts: 'x-test-parts',
	tokenUsage: 'x-test-tokens',
	coldMs: 'x-test-cold',
	serverId: 'x-test-server',
	reserved: ['x-test-reserved'],
};

/**
A registry in memory that many nodes read.
*/
export type StandInRegistry = {
	write(key: string, value: RegistryValue | undefined): void;
	/**
	Whether it answers; while it does not, each question fails.
	*/
	setUp(isUp: boolean): void;
	source(): RegistrySource;
	/**
	Questions that were asked so far.
	*/
	calls(): number;
};

/**
Builds an empty registry.
*/
export const createStandInRegistry = (): StandInRegistry => {
	const rows = new Map<string, RegistryItem>();
	const history: RegistryItem[] = [];
	const held = createHeldCalls();
	let revision = 0;
	let isUp = true;
	let calls = 0;

	const down: RegistryAnswer = {kind: 'unavailable', reason: 'down'};

	return {
		write(key, value) {
			revision += 1;
			const item = {key, revision, value};
			history.push(item);
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, item);
			}

			held.release();
		},
		setUp(isNow) {
			isUp = isNow;
		},
		calls: () => calls,
		source: () => ({
			async snapshot() {
				calls += 1;
				return isUp
					? {kind: 'snapshot', revision, items: rows.values().toArray()}
					: down;
			},
			async changes(after, waitMs) {
				calls += 1;
				if (isUp && revision <= after) {
					await held.wait(waitMs);
				}

				return isUp
					? {
							kind: 'changes',
							revision,
							items: history.filter((item) => item.revision > after),
						}
					: down;
			},
			close: async () => undefined,
		}),
	};
};

/**
How a backend server of the stand-in answers.
*/
export type StandInAnswer =
	| {readonly kind: 'whole'; readonly text: string}
	/**
	Events with rising ids, one each `pauseMs` milliseconds.
	*/
	| {
			readonly kind: 'events';
			readonly count: number;
			readonly pauseMs: number;
	  };

/**
A backend server that registers itself.
*/
export type StandInServer = {
	readonly id: string;
	/**
	Ids of the requests that it ran, in order.
	*/
	readonly ran: readonly string[];
	close(): Promise<void>;
};

const eventOf = (index: number): string => `id: ${index}\ndata: ${index}\n\n`;

const sendEvents = (
	response: ServerResponse,
	{count, pauseMs}: Extract<StandInAnswer, {kind: 'events'}>,
	after: number,
) => {
	let index = after;
	const sendNext = () => {
		index += 1;
		response.write(eventOf(index));
		if (index >= count) {
			response.end();
		} else if (!response.destroyed) {
			setTimeout(sendNext, pauseMs);
		}
	};

	sendNext();
};

/**
Starts a backend server and enters it into the registry.
*/
export const startStandInServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	answer: StandInAnswer,
	headers: WireHeaders = standInHeaders,
): Promise<StandInServer> => {
	const ran: string[] = [];
	const server = createServer((request, response) => {
		const header = (name: string) => String(request.headers[name] ?? '');
		const id = header(headers.requestId);
		request.resume();
		request.on('end', () => {
			if (header(headers.expectedServer) !== entry.id) {
				response.writeHead(421, {[headers.requestId]: id}).end();
				return;
			}

			ran.push(id);
			response.writeHead(200, {
				[headers.requestId]: id,
				[headers.signature]: `${entry.id}/${id}`,
			});
			if (answer.kind === 'whole') {
				response.end(answer.text);
			} else {
				sendEvents(response, answer, Number(header('last-event-id')));
			}
		});
	});
	await listenAt(server, entry.address);
	registry.write(`server ${entry.id}`, {
		kind: 'server',
		server: {...entry, coldMs: 0, isLeaving: false},
	});
	return {
		id: entry.id,
		ran,
		close: async () => closeServer(server),
	};
};

/**
Enters routes into the registry.
*/
export const writeRoutes = (
	registry: StandInRegistry,
	document: RouteDocument,
): void => {
	registry.write('routes', {kind: 'routes', document});
};

/**
Nodes and backend servers of one deployment, each at an address of its own on this machine.
*/
export type GatewayDeployment = {
	readonly registry: StandInRegistry;
	readonly nodes: readonly Gateway[];
	readonly callerAddresses: readonly Address[];
	/**
	An address that nothing else uses.
	*/
	nextAddress(): Address;
	stop(): Promise<void>;
};

// Ports of a node; each node has an IP number of its own.
const callerPort = 8000;
const peerPort = 8001;
const serverPort = 8002;
const largestOctet = 250;

/**
Starts nodes, the first ones in the first zone and so on by turns.

@param zones The region of each zone.
@param count How many nodes there are.
@param registry Read by all of them.
*/
export const startGateways = async (
	zones: Readonly<Record<string, string>>,
	count: number,
	registry: StandInRegistry = createStandInRegistry(),
): Promise<GatewayDeployment> => {
	const network = `127.${randomInt(2, largestOctet)}.${randomInt(1, largestOctet)}`;
	let host = 0;
	const nextHost = () => {
		host += 1;
		return `${network}.${host}`;
	};

	const names = Object.keys(zones);
	const hosts = Array.from({length: count}, nextHost);
	const optionsOf = (index: number): GatewayOptions => ({
		id: `node-${index}`,
		availabilityZone: names[index % names.length]!,
		zones,
		callerAddress: `${hosts[index]!}:${callerPort}`,
		peerAddress: `${hosts[index]!}:${peerPort}`,
		contactAddress: undefined,
		seeds: () => [`${hosts[0]!}:${peerPort}`],
		registry: registry.source(),
		caches: undefined,
		headers: standInHeaders,
		bounds: {
			retryRatio: 0.2,
			retryWindowMs: 10_000,
			retrySlack: 50,
			coldOverrun: 1.5,
			coldSlack: 3,
		},
		logger: createLogger('gateway', {node: `node-${index}`}),
	});
	const nodes = hosts.map((_, index) => createGateway(optionsOf(index)));
	await Promise.all(nodes.map(async (node) => node.start()));
	return {
		registry,
		nodes,
		callerAddresses: hosts.map((each) => `${each}:${callerPort}`),
		nextAddress: () => `${nextHost()}:${serverPort}`,
		async stop() {
			await Promise.all(nodes.map(async (node) => node.stop()));
		},
	};
};

/**
The body of a stream of so many events.
*/
export const eventsOf = (count: number): string =>
	Array.from({length: count}, (_, index) => eventOf(index + 1)).join('');
