// Guards against nodes that are killed because they hold more of requests than their memory.
import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {startGateways} from '../../stand-ins/gateways.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {startStandInServer} from '../../stand-ins/registered-server.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {bodyBytesOf, smallBodiesPart} from '../../src/memory-budget/index.ts';
import {documentOf} from './fixtures.ts';
import {waitUntilConnected} from './wait-until-settled.ts';

const memoryMb = 30;
const bodyBytes = 1_000_000;
const callers = 40;
const gaugePattern = /^quillford_request_bytes_reserved (?<bytes>\d+)$/mv;

test('long bodies beyond the memory of nodes are refused with a time to return, small ones are served, and all are in the end', async (t: TestContext) => {
	const registry = createStandInRegistry();
	const deployment = await startGateways(
		{north: 'upland', south: 'lowland'},
		2,
		registry,
		undefined,
		memoryMb,
	);
	writeRoutes(registry, documentOf());
	const server = await startStandInServer(
		registry,
		{
			id: 'engine-0',
			service: 'engine',
			address: deployment.nextAddress(),
			availabilityZone: 'south',
			slots: 32,
			softwareVersion: 'v1',
		},
		{kind: 'whole', text: 'done'},
	);
	const dispatcher = new Agent({connections: 2 * callers});
	t.after(async () => {
		await dispatcher.destroy();
		await deployment.stop();
		await server.close();
	});
	await waitUntilConnected(deployment);
	await sleep(1000);

	let sent = 0;
	const send = async (bytes: number) => {
		sent += 1;
		// The node of the other region has no servers, so these requests take memory of both nodes.
		const response = await request(
			`http://${deployment.callerAddresses[0]}/a/b`,
			{
				dispatcher,
				method: 'POST',
				body: Buffer.alloc(bytes, 'x'),
				headers: {
					host: 'site.example',
					[standInHeaders.requestId]: `request-${sent}`,
				},
			},
		);
		await response.body.dump();
		return {
			status: response.statusCode,
			retryAfterMs: Number(response.headers['retry-after']) * 1000,
		};
	};

	let refusals = 0;
	const sendUntilServed = async () => {
		for (let tries = 0; tries < callers; tries += 1) {
			const {status, retryAfterMs} = await send(bodyBytes);
			if (status === 200) {
				return status;
			}

			refusals += 1;
			t.assert.strictEqual(status, 503);
			t.assert.ok(retryAfterMs > 0);
			await sleep(retryAfterMs);
		}

		return 503;
	};

	const peaks: number[] = [];
	const sample = async () => {
		for (const node of deployment.nodes) {
			const metrics = await node.metrics();
			peaks.push(Number(gaugePattern.exec(metrics)?.groups?.bytes));
		}
	};

	const sampling = setInterval(() => {
		void sample();
	}, 5);
	t.after(() => {
		clearInterval(sampling);
	});
	const long = Promise.all(Array.from({length: callers}, sendUntilServed));
	const small = await Promise.all(
		Array.from({length: callers}, async (_, index) => {
			await sleep(index * 5);
			return send(1000);
		}),
	);
	t.assert.ok(small.every(({status}) => status === 200));
	t.assert.ok((await long).every((status) => status === 200));
	t.assert.ok(refusals > 0);
	clearInterval(sampling);
	t.assert.ok(Math.max(...peaks) > 0);
	t.assert.ok(
		Math.max(...peaks) <=
			bodyBytesOf(memoryMb) * (1 - smallBodiesPart) + callers * 1000,
	);
});
