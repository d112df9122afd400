import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {
	startStandInServer,
	type StandInAnswer,
} from '../../stand-ins/registered-server.ts';
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

const longStream: StandInAnswer = {kind: 'events', count: 300, pauseMs: 50};

// Two nodes in two regions and one server with one slot in the home of the route.
const setUp = async (t: TestContext, answer: StandInAnswer = longStream) => {
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
		answer,
	);
	t.after(async () => {
		await deployment.stop();
		await server.close();
	});

	const ask = async (
		index: number,
		id: string,
		beforeReading: () => Promise<void> = async () => undefined,
	) => {
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
			await beforeReading();
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

// Guards against answers that are cut although their server has made them and their callers still read them.
test('a leaving node writes its answers to their end before it exits', async (t: TestContext) => {
	// Longer than what the sockets of both sides buffer.
	const length = 12_582_912;
	const longDrainMs = 10_000;
	// Longer than a leaving node accepts callers.
	const readingPauseMs = 5000;
	const {deployment, ask} = await setUp(t, {
		kind: 'whole',
		text: 'a'.repeat(length),
	});
	const node = deployment.nodes[0]!;
	let exited: Promise<void> | undefined;
	const {status, text} = await ask(0, 'slow', async () => {
		exited = node.drain(longDrainMs).then(async () => node.stop());
		await sleep(readingPauseMs);
	});
	t.assert.deepStrictEqual([status, text.length], [200, length]);
	await exited;
});
