import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {startStandInServer} from '../../stand-ins/registered-server.ts';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {waitUntil} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

const zones = {north: 'upland', south: 'lowland'};
const nodesUsable = 'quillford_nodes_usable ';
const requestsWaiting = 'quillford_requests_waiting ';
const drainMs = 2000;
// A node sends a server one request more than it has slots.
const running = ['running-1', 'running-2'];
const waitingRequests = 6;

// Two nodes in two regions and one server in the home of the route, whose only slot a stream occupies.
const setUp = async (t: TestContext) => {
	const deployment = await startGateways(zones, 2);
	writeRoutes(
		deployment.registry,
		documentOf({
			routes: [
				routeOf({
					kind: 'non-idempotent',
					timeoutMs: 30_000,
					maximumAttempts: 1,
					homeRegions: ['upland'],
				}),
			],
			services: [serviceOf()],
		}),
	);
	const server = await startStandInServer(
		deployment.registry,
		{
			id: 'server-1',
			service: 'engine',
			address: deployment.nextAddress(),
			availabilityZone: 'north',
			slots: 1,
		},
		{kind: 'events', count: 300, pauseMs: 50},
	);
	t.after(async () => {
		await deployment.stop();
		await server.close();
	});

	const ask = async (index: number, id: string) => {
		try {
			const {statusCode, headers, body} = await request(
				`http://${deployment.callerAddresses[index]}/a/b`,
				{
					method: 'POST',
					body: 'hello',
					headers: {
						host: 'site.example',
						[standInHeaders.requestId]: id,
						[standInHeaders.remainingMs]: '30000',
					},
				},
			);
			return {status: statusCode, headers, text: await body.text()};
		} catch {
			return {status: 0, headers: {}, text: ''};
		}
	};

	const gaugeOf = async (index: number, name: string): Promise<number> => {
		const metrics = await deployment.nodes[index]!.metrics();
		const line = metrics.split('\n').find((each) => each.startsWith(name));
		return Number(line?.split(' ').at(-1));
	};

	await waitUntil(async () => {
		const usable = await Promise.all(
			deployment.nodes.map(async (_, index) => gaugeOf(index, nodesUsable)),
		);
		return (
			usable.every((count) => count === 1) &&
			deployment.nodes.every((node) => node.isReady())
		);
	});
	return {
		deployment,
		server,
		ask,
		waitingAt: async (index: number) => gaugeOf(index, requestsWaiting),
	};
};

const cases = [
	{
		name: 'a leaving node refuses its waiting requests before it exits',
		askedAt: 0,
		leaving: 0,
	},
	{
		name: 'a leaving node hands back the waiting requests that another node forwarded',
		askedAt: 1,
		leaving: 0,
	},
	{
		name: 'a leaving node gets back the requests that wait at another node, and refuses them',
		askedAt: 1,
		leaving: 1,
	},
] as const;

// Guards against requests that a leaving node has read and not sent, and whose connections it closes without a response.
for (const {name, askedAt, leaving} of cases) {
	test(name, async (t: TestContext) => {
		const {deployment, server, ask, waitingAt} = await setUp(t);
		for (const id of running) {
			void ask(0, id);
		}

		await waitUntil(() => server.ran.length === running.length);
		let isExiting = false;
		const waiting = Array.from({length: waitingRequests}, async (_, index) => {
			const answer = await ask(askedAt, `waiting-${index}`);
			return {...answer, isBeforeExit: !isExiting};
		});
		await waitUntil(async () => (await waitingAt(0)) === waitingRequests);
		t.assert.strictEqual(await waitingAt(0), waitingRequests);
		const node = deployment.nodes[leaving]!;
		const drained = node.drain(drainMs).then(async () => {
			isExiting = true;
			await node.stop();
		});
		const answers = await Promise.all(waiting);
		for (const {status, headers, isBeforeExit} of answers) {
			t.assert.deepStrictEqual(
				{
					status,
					isBeforeExit,
					hasRetryAfter: 'retry-after' in headers,
				},
				{status: 503, isBeforeExit: true, hasRetryAfter: true},
			);
		}

		t.assert.deepStrictEqual(server.ran.toSorted(), running);
		await drained;
	});
}
