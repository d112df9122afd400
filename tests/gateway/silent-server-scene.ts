import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {
	startPausableServer,
	streamPrefix,
	type PausableServer,
} from '../../stand-ins/pausable-server.ts';
import {eventsOf} from '../../stand-ins/registered-server.ts';
import {
	createStandInRegistry,
	writeRoutes,
	type StandInRegistry,
} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import type {RouteDocument} from '../../src/routes/index.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {waitUntilSettled} from './wait-until-settled.ts';

/**
Nodes and servers that can fall silent.
*/
export type SilentScene = {
	readonly deployment: GatewayDeployment;
	readonly registry: StandInRegistry;
	readonly servers: readonly PausableServer[];
};

/**
The end of a request as seen by its caller.
*/
export type SilentSceneAnswer = {
	readonly path: string;
	readonly status: number;
	readonly isWhole: boolean;
};

const events = 9;
const stepMs = 50;
const slots = 64;
const timeoutMs = 4000;

const paths = {
	resumable: `${streamPrefix}resumable/`,
	plain: `${streamPrefix}plain/`,
	repeatable: '/repeatable/',
	once: '/once/',
} as const;

/**
Returns the routes of the scene, one for each kind of request.
*/
export const documentOfScene = (
	change: Partial<RouteDocument> = {},
): RouteDocument =>
	documentOf({
		routes: [
			routeOf({
				name: 'resumable',
				pathPrefix: paths.resumable,
				kind: 'streaming',
				isResumable: true,
				timeoutMs,
			}),
			routeOf({
				name: 'plain',
				pathPrefix: paths.plain,
				kind: 'streaming',
				timeoutMs,
			}),
			routeOf({
				name: 'repeatable',
				pathPrefix: paths.repeatable,
				kind: 'idempotent',
				timeoutMs,
			}),
			routeOf({
				name: 'once',
				pathPrefix: paths.once,
				kind: 'non-idempotent',
				timeoutMs,
			}),
		],
		services: [serviceOf()],
		...change,
	});

/**
Starts nodes and servers.

@param t
@param zones
@param nodes
@param zonesOfServers Zone of each server.
*/
export const setUpSilent = async (
	t: TestContext,
	zones: Readonly<Record<string, string>>,
	nodes: number,
	zonesOfServers: readonly string[],
): Promise<SilentScene> => {
	const registry = createStandInRegistry();
	const deployment = await startGateways(zones, nodes, registry);
	writeRoutes(registry, documentOfScene());
	const servers = await Promise.all(
		zonesOfServers.map(async (availabilityZone, index) =>
			startPausableServer(
				registry,
				{
					id: `engine-${index}`,
					service: 'engine',
					address: deployment.nextAddress(),
					availabilityZone,
					slots,
				},
				{events, stepMs},
			),
		),
	);
	t.after(async () => {
		await deployment.stop();
		await Promise.all(servers.map(async (server) => server.close()));
	});
	await waitUntilSettled(deployment);
	return {deployment, registry, servers};
};

let attempts = 0;

const ask = async (
	address: string,
	path: string,
): Promise<SilentSceneAnswer> => {
	attempts += 1;
	try {
		const answer = await request(`http://${address}${path}${attempts}`, {
			method: 'POST',
			body: 'work',
			headers: {
				host: 'site.example',
				[standInHeaders.requestId]: `attempt-${attempts}`,
				[standInHeaders.remainingMs]: String(timeoutMs),
			},
		});
		const text = await answer.body.text();
		const expected = path.startsWith(streamPrefix) ? eventsOf(events) : 'done';
		const isWhole = answer.statusCode === 200 && text === expected;
		return {path, status: answer.statusCode, isWhole};
	} catch {
		return {path, status: 0, isWhole: false};
	}
};

/**
Sends requests of all kinds at a constant rate, to all nodes in turn.
*/
export const sendAllKinds = async (
	{deployment: {callerAddresses}}: SilentScene,
	lengthMs: number,
	kinds: readonly string[] = Object.values(paths),
): Promise<readonly SilentSceneAnswer[]> => {
	const answers: Array<Promise<SilentSceneAnswer>> = [];
	const intervalMs = 10;
	for (let index = 0; index * intervalMs < lengthMs; index += 1) {
		const address =
			callerAddresses[
				Math.floor(index / kinds.length) % callerAddresses.length
			]!;
		answers.push(ask(address, kinds[index % kinds.length]!));
		await sleep(intervalMs);
	}

	return Promise.all(answers);
};

/**
Returns the requests that the servers ran and that were cut before their answers were complete.
*/
export const cutRuns = ({servers}: SilentScene): readonly string[] =>
	servers.flatMap(({cut}) => cut);
