import assert from 'node:assert/strict';
import {get} from 'node:http';
import {after, before, describe, test, type TestContext} from 'node:test';
import {request} from 'undici';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {
	eventsOf,
	startStandInServer,
	type StandInServer,
} from '../../stand-ins/registered-server.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {waitUntil} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {waitUntilConnected} from './wait-until-settled.ts';

const zones = {north: 'upland', south: 'lowland'};

let attempts = 0;

const ask = async (
	address: string,
	path: string,
	headers: Readonly<Record<string, string>> = {},
) => {
	attempts += 1;
	const id = `attempt-${attempts}`;
	const answer = await request(`http://${address}${path}`, {
		method: 'POST',
		body: 'hello',
		headers: {
			host: 'site.example',
			[standInHeaders.requestId]: id,
			[standInHeaders.remainingMs]: '4000',
			...headers,
		},
	});
	return {
		id,
		status: answer.statusCode,
		headers: answer.headers,
		text: await answer.body.text(),
	};
};

// The client of the other tests sends paths only.
const askAbsolute = async (address: string, target: string): Promise<number> =>
	new Promise((resolve, reject) => {
		const url = new URL(`http://${address}`);
		get(
			{
				host: url.hostname,
				port: url.port,
				path: target,
				headers: {
					host: 'another.example',
					[standInHeaders.requestId]: 'absolute-1',
				},
			},
			(response) => {
				response.resume();
				resolve(response.statusCode ?? 0);
			},
		).once('error', reject);
	});

describe('two nodes in two regions', () => {
	let deployment: GatewayDeployment;
	let servers: readonly StandInServer[];

	before(async () => {
		deployment = await startGateways(zones, 2);
		const {registry} = deployment;
		writeRoutes(
			registry,
			documentOf({
				routes: [
					routeOf({
						name: 'plain',
						pathPrefix: '/plain/',
						services: [{service: 'plain', weight: 1}],
					}),
					routeOf({
						name: 'words',
						pathPrefix: '/words/',
						kind: 'streaming',
						services: [{service: 'words', weight: 1}],
					}),
					routeOf({
						name: 'bound',
						pathPrefix: '/bound/',
						services: [{service: 'plain', weight: 1}],
						homeRegions: ['nowhere'],
					}),
				],
				services: [serviceOf({name: 'plain'}), serviceOf({name: 'words'})],
			}),
		);
		servers = await Promise.all([
			startStandInServer(
				registry,
				{
					id: 'plain-1',
					service: 'plain',
					address: deployment.nextAddress(),
					availabilityZone: 'north',
					slots: 4,
				},
				{kind: 'whole', text: 'done'},
			),
			startStandInServer(
				registry,
				{
					id: 'words-1',
					service: 'words',
					address: deployment.nextAddress(),
					availabilityZone: 'south',
					slots: 4,
				},
				{kind: 'events', count: 5, pauseMs: 5},
			),
		]);
		await waitUntilConnected(deployment);
	});

	after(async () => {
		await deployment.stop();
		await Promise.all(servers.map(async (server) => server.close()));
	});

	test('an answer arrives complete and signed, from the same region and from the other', async () => {
		for (const address of deployment.callerAddresses) {
			const {id, status, headers, text} = await ask(address, '/plain/a');
			assert.equal(status, 200);
			assert.equal(text, 'done');
			assert.equal(headers[standInHeaders.signature], `plain-1/${id}`);
		}
	});

	test('a request with an absolute target is served by the route of its host, from the same region and from the other', async () => {
		for (const address of deployment.callerAddresses) {
			const status = await askAbsolute(address, 'https://site.example/plain/a');
			assert.equal(status, 200);
		}
	});

	test('a stream arrives event by event from either node', async () => {
		for (const address of deployment.callerAddresses) {
			const {status, text} = await ask(address, '/words/a');
			assert.equal(status, 200);
			assert.equal(text, eventsOf(5));
		}
	});

	test('a request that no region may serve is refused as not run, with Retry-After', async () => {
		const [address = ''] = deployment.callerAddresses;
		const {id, status, headers} = await ask(address, '/bound/a');
		assert.equal(status, 503);
		assert.ok(Number(headers['retry-after']) > 0);
		assert.ok(servers.every(({ran}) => !ran.includes(id)));
	});

	test('a path without a route is not found, and a request without an id is refused', async () => {
		const [address = ''] = deployment.callerAddresses;
		const {status} = await ask(address, '/none/a');
		assert.equal(status, 404);
		const nameless = await ask(address, '/plain/a', {
			[standInHeaders.requestId]: '',
		});
		assert.equal(nameless.status, 400);
	});

	test('a server whose entry was removed receives nothing more once the node knows', async (t: TestContext) => {
		const {registry} = deployment;
		const late = await startStandInServer(
			registry,
			{
				id: 'plain-2',
				service: 'plain',
				address: deployment.nextAddress(),
				availabilityZone: 'north',
				slots: 4,
			},
			{kind: 'whole', text: 'done'},
		);
		t.after(late.close);
		registry.write('server plain-1', undefined);
		const [address = ''] = deployment.callerAddresses;
		// Only the new server remains in the region of this node.
		await waitUntil(async () => {
			const isKnown = (await deployment.nodes[0]!.metrics()).includes(
				'quillford_backend_servers 1\n',
			);
			await ask(address, '/plain/b');
			return isKnown && late.ran.length > 0;
		});
		const ranBefore = servers[0]!.ran.length;
		await Promise.all(
			Array.from({length: 20}, async () => ask(address, '/plain/c')),
		);
		t.assert.strictEqual(servers[0]!.ran.length, ranBefore);
		t.assert.ok(late.ran.length > 20);
	});

	test('the metrics count answered requests', async () => {
		const figures = await deployment.nodes[0]!.metrics();
		assert.match(figures, /quillford_requests_total\{.*route="plain".*\} \d+/v);
	});

	test('a draining node completes its requests in flight and accepts no new ones', async () => {
		const [address = ''] = deployment.callerAddresses;
		const slow = ask(address, '/words/z');
		const drained = deployment.nodes[0]!.drain(6000);
		assert.equal(deployment.nodes[0]!.isReady(), false);
		const {text, headers} = await slow;
		assert.equal(text, eventsOf(5));
		assert.equal(headers.connection, 'close');
		assert.equal(await drained, true);
		await assert.rejects(ask(address, '/plain/a'), {code: 'ECONNREFUSED'});
	});
});

test('a request that arrives before the first routes is served once there are some', async (t: TestContext) => {
	const deployment = await startGateways({north: 'upland'}, 1);
	t.after(deployment.stop);
	const {registry} = deployment;
	const [address = ''] = deployment.callerAddresses;
	const server = await startStandInServer(
		registry,
		{
			id: 'plain-1',
			service: 'plain',
			address: deployment.nextAddress(),
			availabilityZone: 'north',
			slots: 4,
		},
		{kind: 'whole', text: 'done'},
	);
	t.after(server.close);
	const early = ask(address, '/plain/a');
	writeRoutes(
		registry,
		documentOf({
			routes: [
				routeOf({
					pathPrefix: '/plain/',
					services: [{service: 'plain', weight: 1}],
				}),
			],
			services: [serviceOf({name: 'plain'})],
		}),
	);
	const {status, text} = await early;
	t.assert.strictEqual(status, 200);
	t.assert.strictEqual(text, 'done');
});

test('a request that arrives while the registry is unavailable is refused as not run', async (t: TestContext) => {
	const deployment = await startGateways({north: 'upland'}, 1);
	t.after(deployment.stop);
	deployment.registry.setUp(false);
	const [address = ''] = deployment.callerAddresses;
	const {status} = await ask(address, '/plain/a');
	t.assert.strictEqual(status, 503);
});

test('limits of routes that arrived before the start of the listener for callers are applied', async (t: TestContext) => {
	const registry = createStandInRegistry();
	const document = documentOf();
	writeRoutes(registry, {
		...document,
		limits: {...document.limits, maximumBodyBytes: 3},
	});
	const deployment = await startGateways({north: 'upland'}, 1, registry);
	t.after(deployment.stop);
	const [address = ''] = deployment.callerAddresses;
	await waitUntil(() => deployment.nodes[0]!.isReady());
	const {status} = await ask(address, '/a/b');
	t.assert.strictEqual(status, 413);
});

test('a leaving node accepts requests on open connections that it can complete, and refuses others as not run', async (t: TestContext) => {
	const deployment = await startGateways({north: 'upland'}, 1);
	t.after(deployment.stop);
	const {registry, nodes} = deployment;
	const [address = ''] = deployment.callerAddresses;
	const server = await startStandInServer(
		registry,
		{
			id: 'both-1',
			service: 'both',
			address: deployment.nextAddress(),
			availabilityZone: 'north',
			slots: 4,
		},
		{kind: 'whole', text: 'done'},
	);
	t.after(server.close);
	const services = [{service: 'both', weight: 1}];
	writeRoutes(
		registry,
		documentOf({
			routes: [
				routeOf({name: 'known', pathPrefix: '/known/', services}),
				routeOf({name: 'unknown', pathPrefix: '/unknown/', services}),
			],
			services: [serviceOf({name: 'both'})],
		}),
	);
	await waitUntil(async () => (await ask(address, '/known/a')).status === 200);
	for (let index = 0; index < 10; index += 1) {
		await ask(address, '/known/a');
	}

	// The node exits before the timeout of four seconds, which is assumed for a route without recorded durations.
	const drained = nodes[0]!.drain(3000);
	const accepted = await ask(address, '/known/a');
	t.assert.strictEqual(accepted.status, 200);
	const refused = await ask(address, '/unknown/a');
	t.assert.strictEqual(refused.status, 503);
	t.assert.strictEqual(refused.headers.connection, 'close');
	t.assert.ok(Number(refused.headers['retry-after']) < 1);
	t.assert.ok(!server.ran.includes(refused.id));
	await drained;
});
