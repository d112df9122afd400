// Short drafts failed by the hundred: one request crashed each engine that began to run it, and it came again and
// again, by the same path with the same body under other ids, to any node. Its second try went to the next engine at
// once; the third and all later tries began anew, for attempts were counted for an id, at one node, until that request
// ended. Engines that came back were crashed again: six engines fell three times in sixteen seconds, twenty falls to a
// request. That it was one request shows in the fingerprints of what was under way at each engine that falls; that no
// overload is needed, here, where the engines have room to spare.
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
	startCrashingServer,
	type RunLog,
} from '../../stand-ins/crashing-server.ts';
import {startGateways} from '../../stand-ins/gateways.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import type {Route} from '../../src/routes/index.ts';
import {until} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

const zones = {'north-1': 'upland', 'north-2': 'upland', south: 'lowland'};
const nodes = 6;
const servers = 6;
const fatalBody = 'a request that crashes what runs it';
const accepted = 'text/event-stream';

// Crashes of one request that are borne: what happens once can happen to any request, twice to one that was tried
// again, and a third time by bad luck.
const borneCrashes = 3;

// After the third crash the nodes have so long to tell each other, in milliseconds: a hundredth of what a slow
// network takes, and many times what this machine does.
const tellingMs = 1000;

// Sends that are borne after that, over all nodes.
const borneSends = 3;

let attempts = 0;

type Answer = {readonly status: number; readonly text: string};

const ask = async (address: string, body: string): Promise<Answer> => {
	attempts += 1;
	try {
		const answer = await request(`http://${address}/a/draft`, {
			method: 'POST',
			body,
			headers: {
				host: 'site.example',
				accept: accepted,
				[standInHeaders.requestId]: `attempt-${attempts}`,
				[standInHeaders.remainingMs]: '4000',
			},
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	} catch (error) {
		return {status: 0, text: String(error)};
	}
};

const setUp = async (t: TestContext, route: Partial<Route>) => {
	const registry = createStandInRegistry();
	const deployment = await startGateways(zones, nodes, registry);
	const book: RunLog = {runs: [], crashes: []};
	writeRoutes(
		registry,
		documentOf({
			routes: [
				routeOf({
					kind: 'streaming',
					maximumAttempts: 3,
					services: [{service: 'engine', weight: 1}],
					...route,
				}),
			],
			services: [serviceOf()],
		}),
	);
	const engines = await Promise.all(
		Array.from({length: servers}, async (_, index) =>
			startCrashingServer(
				registry,
				{
					id: `engine-${index}`,
					service: 'engine',
					address: deployment.nextAddress(),
					availabilityZone: index % 2 === 0 ? 'north-1' : 'north-2',
					slots: 16,
				},
				{
					isFatal: (body) => body === fatalBody,
					events: 5,
					pauseMs: 20,
					downMs: 250,
				},
				book,
			),
		),
	);
	t.after(async () => {
		await deployment.stop();
		await Promise.all(engines.map(async (engine) => engine.close()));
	});
	await until(() =>
		deployment.nodes.every(
			(node) => node.isReady() && node.entryAddresses('', '').length === nodes,
		),
	);
	return {deployment, book};
};

// What reached servers later than the nodes had to tell each other of the third crash.
const lateSends = ({runs, crashes}: RunLog): number => {
	const third = crashes[borneCrashes - 1]?.at ?? Infinity;
	return runs.filter(
		({at, body}) => body === fatalBody && at > third + tellingMs,
	).length;
};

// One request again and again, by all nodes in turn, while others come that merely share its servers.
const playSpell = async (
	addresses: readonly string[],
	turns: number,
): Promise<readonly Answer[]> => {
	const others: Array<Promise<Answer>> = [];
	const fatal: Array<Promise<Answer>> = [];
	for (let turn = 0; turn < turns; turn += 1) {
		const address = addresses[turn % addresses.length]!;
		others.push(ask(address, `other ${attempts}`));
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
	{name: 'a stream that is taken up again', route: {isResumable: true}},
	{name: 'a request that is tried again', route: {kind: 'idempotent'}},
	{name: 'a stream that runs at most once', route: {}},
];

for (const {name, route} of kinds) {
	test(`${name}: one that crashes its servers reaches few of them, by whatever node it comes`, async (t: TestContext) => {
		const {deployment, book} = await setUp(t, route);
		const answers = await playSpell(deployment.callerAddresses, 200);
		t.assert.ok(book.crashes.length >= borneCrashes);
		t.assert.ok(
			lateSends(book) <= borneSends,
			`sent ${lateSends(book)} times late, ${book.crashes.length} crashes`,
		);
		t.assert.ok(answers.some(({status}) => status === 200));
		t.assert.deepStrictEqual(
			answers.filter(({text}) => text.includes('quarantine')),
			[],
		);
	});
}

test('a node that has just started knows of it from the others', async (t: TestContext) => {
	const {deployment, book} = await setUp(t, {isResumable: true});
	await playSpell(deployment.callerAddresses, 100);
	await deployment.restart(1);
	await until(() => deployment.nodes[1]!.isReady());
	await sleep(tellingMs);
	for (let turn = 0; turn < 10; turn += 1) {
		await ask(deployment.callerAddresses[1]!, fatalBody);
	}

	t.assert.ok(
		lateSends(book) <= borneSends,
		`sent ${lateSends(book)} times late, ${book.crashes.length} crashes`,
	);
});
