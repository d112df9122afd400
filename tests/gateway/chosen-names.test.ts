import {after, before, describe, test, type TestContext} from 'node:test';
import {request} from 'undici';
import type {Route} from '../../src/routes/index.ts';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {
	startStandInServer,
	type StandInServer,
} from '../../stand-ins/registered-server.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {waitUntilConnected} from './wait-until-settled.ts';

type Case = {
	readonly name: string;
	readonly route: Partial<Route>;
	readonly target: string;
};

// Each route has a host of its own, so that its prefix does not cover another one.
const cases: readonly Case[] = [
	{
		name: 'a route with the prefix of calls between nodes',
		route: {pathPrefix: '/quillford/'},
		target: '/quillford/2f',
	},
	{
		name: 'a route with the path of a call between nodes as its prefix',
		route: {pathPrefix: '/quillford/members/'},
		target: '/quillford/members/2f',
	},
	{
		name: 'a route for all paths, asked for that of a call between nodes',
		route: {pathPrefix: '/'},
		target: '/quillford/rest',
	},
	{
		name: 'a route for all paths, asked for that of a call with a query',
		route: {pathPrefix: '/'},
		target: '/quillford/registry?after=0',
	},
	{
		name: 'a route with the prefix of the directory',
		route: {pathPrefix: '/resolve/'},
		target: '/resolve/2f',
	},
];

const zones = {north: 'upland', south: 'lowland'};
const hostOf = (index: number) => `site-${index}.example`;

// Guards against requests that a node treats differently because of a name that operators or callers choose.
describe('two nodes, and servers in the region of the first', () => {
	let deployment: GatewayDeployment;
	let servers: readonly StandInServer[];

	before(async () => {
		deployment = await startGateways(zones, 2);
		const {registry} = deployment;
		const routes = cases.map(({route}, index) =>
			routeOf({name: `route-${index}`, host: hostOf(index), ...route}),
		);
		const services = new Set(
			routes.flatMap((route) => route.services.map(({service}) => service)),
		);
		writeRoutes(
			registry,
			documentOf({
				routes,
				services: [...services].map((name) => serviceOf({name})),
			}),
		);
		servers = await Promise.all(
			[...services].map(async (service) =>
				startStandInServer(
					registry,
					{
						id: `${service}-1`,
						service,
						address: deployment.nextAddress(),
						availabilityZone: 'north',
						slots: 8,
					},
					{kind: 'whole', text: 'done'},
				),
			),
		);
		await waitUntilConnected(deployment);
	});

	after(async () => {
		await deployment.stop();
		await Promise.all(servers.map(async (server) => server.close()));
	});

	for (const [index, {name, target}] of cases.entries()) {
		test(`${name} is served from both regions`, async (t: TestContext) => {
			for (const address of deployment.callerAddresses) {
				const id = `${index} ${address}`;
				const answer = await request(`http://${address}${target}`, {
					method: 'POST',
					body: 'hello',
					headers: {
						host: hostOf(index),
						[standInHeaders.requestId]: id,
						[standInHeaders.remainingMs]: '4000',
					},
				});
				t.assert.deepStrictEqual(
					[answer.statusCode, await answer.body.text()],
					[200, 'done'],
				);
				t.assert.ok(servers.some(({ran}) => ran.includes(id)));
			}
		});
	}
});
