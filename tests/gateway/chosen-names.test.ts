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
	readonly headers?: Readonly<Record<string, string>>;
};

// Heads of callers of nearly 16 KB, in one line and in more lines than Node.js keeps by default.
const longHeader = {'x-long': 'a'.repeat(16_250)};
const manyHeaders = Object.fromEntries(
	Array.from({length: 2100}, (_, index) => [index.toString(36), '']),
);

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
	{
		name: 'a route whose host has capital letters',
		route: {host: 'Capital.Example'},
		target: '/a/2f',
	},
	{
		name: 'a route whose prefix is not ASCII',
		route: {pathPrefix: '/ιστορικό/'},
		target: encodeURI('/ιστορικό/2f'),
	},
	{
		name: 'a request with a long header',
		route: {},
		target: '/a/2f',
		headers: longHeader,
	},
	{
		name: 'a request with many headers',
		route: {},
		target: '/a/2f',
		headers: manyHeaders,
	},
	{
		name: 'a route whose name is not ASCII',
		route: {name: 'ιστορικό'},
		target: '/a/2f',
	},
	{
		name: 'a route whose service, and so its server, has a name that is not ASCII',
		route: {services: [{service: 'γραφείς, 100 %', weight: 1}]},
		target: '/a/2f',
	},
	{
		name: 'a route whose service has the name of a property of all objects',
		route: {services: [{service: '__proto__', weight: 1}]},
		target: '/a/2f',
	},
	{
		name: 'a route whose service is called constructor',
		route: {services: [{service: 'constructor', weight: 1}]},
		target: '/a/2f',
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

	// Sends the request of a case to each node.
	const askAll = async (index: number) => {
		const {route, target, headers} = cases[index]!;
		const answers = deployment.callerAddresses.map(async (address) => {
			const id = `${index} ${address}`;
			const answer = await request(`http://${address}${target}`, {
				method: 'POST',
				body: 'hello',
				headers: {
					host: route.host ?? hostOf(index),
					[standInHeaders.requestId]: id,
					[standInHeaders.remainingMs]: '4000',
					...headers,
				},
			});
			return {
				status: answer.statusCode,
				text: await answer.body.text(),
				hasRun: servers.some(({ran}) => ran.includes(id)),
			};
		});
		return Promise.all(answers);
	};

	for (const [index, {name}] of cases.entries()) {
		test(`${name} is served from both regions`, async (t: TestContext) => {
			const served = {status: 200, text: 'done', hasRun: true};
			t.assert.deepStrictEqual(await askAll(index), [served, served]);
		});
	}
});
