// Guards against one request that crashes every engine that runs it, so that hundreds of other requests fail with it.
// It is sent again and again to any node, with the same path and body but other ids, so that attempts counted per id and
// node do not limit it: six engines can crash three times each in sixteen seconds, twenty crashes for one request. The
// request is identified by the fingerprints of the requests in flight at each engine that crashes. The engines here have
// spare capacity, so that overload is not the cause.
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RunLog} from '../../stand-ins/crashing-server.ts';
import type {Route} from '../../src/routes/index.ts';
import {waitUntil} from '../until.ts';
import {ask, setUpCrashes, type Answer} from './crash-scene.ts';

const fatalBody = 'a request that crashes what runs it';
const isFatal = (body: string) => body === fatalBody;

// Tolerated crashes of one request: one can happen to any request, a second one to a request that was retried, and a
// third one by coincidence.
const toleratedCrashes = 3;

// Time in which nodes inform each other of the third crash, in milliseconds: a hundredth of what a slow network takes,
// and many times what this machine takes.
const propagationMs = 1000;

// Tolerated sends of the request after that, by all nodes together.
const toleratedSends = 3;

// Counts the sends of the fatal request after the nodes had time to inform each other of the third crash.
const lateSends = ({runs, crashes}: RunLog): number => {
	const thirdCrashAt = crashes[toleratedCrashes - 1]?.at ?? Infinity;
	return runs.filter(
		({at, body}) => body === fatalBody && at > thirdCrashAt + propagationMs,
	).length;
};

// Sends the fatal request repeatedly, through all nodes in turn, along with other requests to the same servers.
const sendWithFatal = async (
	addresses: readonly string[],
	turns: number,
): Promise<readonly Answer[]> => {
	const others: Array<Promise<Answer>> = [];
	const fatal: Array<Promise<Answer>> = [];
	for (let turn = 0; turn < turns; turn += 1) {
		const address = addresses[turn % addresses.length]!;
		others.push(ask(address, `other ${turn}`));
		if (turn % 5 === 0) {
			fatal.push(ask(addresses[(turn / 5) % addresses.length]!, fatalBody));
		}

		await sleep(20);
	}

	await Promise.all(fatal);
	return Promise.all(others);
};

const kinds: ReadonlyArray<{
	readonly name: string;
	readonly route: Partial<Route>;
}> = [
	{name: 'a stream that is resumed', route: {isResumable: true}},
	{name: 'a request that is retried', route: {kind: 'idempotent'}},
	{name: 'a stream that runs at most once', route: {}},
];

for (const {name, route} of kinds) {
	test(`${name}: if it crashes its servers, it reaches few of them, through any node`, async (t: TestContext) => {
		const {deployment, runLog} = await setUpCrashes(t, route, isFatal);
		const answers = await sendWithFatal(deployment.callerAddresses, 200);
		t.assert.ok(runLog.crashes.length >= toleratedCrashes);
		t.assert.ok(
			lateSends(runLog) <= toleratedSends,
			`sent ${lateSends(runLog)} times late, ${runLog.crashes.length} crashes`,
		);
		t.assert.ok(answers.some(({status}) => status === 200));
		t.assert.deepStrictEqual(
			answers.filter(({text}) => text.includes('quarantine')),
			[],
		);
	});
}

test('a node that has just started learns of a crashing request from the others', async (t: TestContext) => {
	const {deployment, runLog} = await setUpCrashes(
		t,
		{isResumable: true},
		isFatal,
	);
	await sendWithFatal(deployment.callerAddresses, 100);
	await deployment.restart(1);
	await waitUntil(() => deployment.nodes[1]!.isReady());
	await sleep(propagationMs);
	for (let turn = 0; turn < 10; turn += 1) {
		await ask(deployment.callerAddresses[1]!, fatalBody);
	}

	t.assert.ok(
		lateSends(runLog) <= toleratedSends,
		`sent ${lateSends(runLog)} times late, ${runLog.crashes.length} crashes`,
	);
});
