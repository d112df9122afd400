// Guards against streams that hold events of two versions of a backend server's software, in one answer or over the tries of a caller.
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import {
	startVersionedServer,
	versionedEvents,
	type VersionedServer,
} from '../../stand-ins/versioned-server.ts';
import type {Route} from '../../src/routes/index.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {waitUntilConnected} from './wait-until-settled.ts';

const oneRegion = {'north-1': 'upland', 'north-2': 'upland'};
const twoRegions = {north: 'upland', south: 'lowland'};
const nodes = 4;
const streams = 24;
const pauseBetweenMs = 15;
const receivedBeforeBreak = 2;

// Streams that callers take up again must continue at least half as often as new ones begin. In these scenes all new ones begin.
const requiredFraction = 0.5;

const keptTimeoutMs = 4000;
const keptRounds = 9;

type ServerPlan = {readonly zone: string; readonly version: string};

type Scene = {
	readonly deployment: GatewayDeployment;
	/**
	In the order of their plans.
	*/
	readonly servers: readonly VersionedServer[];
};

const setUp = async (
	t: TestContext,
	plans: readonly ServerPlan[],
	zones: Readonly<Record<string, string>> = oneRegion,
	route: Partial<Route> = {},
	eventStep = 1,
): Promise<Scene> => {
	const registry = createStandInRegistry();
	const deployment = await startGateways(zones, nodes, registry);
	writeRoutes(
		registry,
		documentOf({
			routes: [routeOf({kind: 'streaming', isResumable: true, ...route})],
			services: [serviceOf()],
		}),
	);
	const servers = await Promise.all(
		plans.map(async ({zone, version}, index) =>
			startVersionedServer(
				registry,
				{
					id: `engine-${index}`,
					service: 'engine',
					address: deployment.nextAddress(),
					availabilityZone: zone,
					slots: 32,
					softwareVersion: version,
				},
				eventStep,
			),
		),
	);
	t.after(async () => {
		await deployment.stop();
		await Promise.all(servers.map(async (server) => server.close()));
	});
	await waitUntilConnected(deployment);
	// By then each node has settled and knows the load of the regions.
	await sleep(3000);
	return {deployment, servers};
};

let attempts = 0;

type Received = {
	readonly requestId: string;
	readonly status: number;
	readonly lastEventId: string | undefined;
	readonly versions: readonly string[];
	readonly isWhole: boolean;
	readonly totalMs: number;
};

type Continuation = Pick<Received, 'requestId' | 'lastEventId'> & {
	/**
	Whether the caller names the request that brought the first event; true if omitted.
	*/
	readonly isNamed?: boolean;
};

const eventPattern = /id: (?<id>\d+)\ndata: (?<version>\S+)\n\n/gv;

// Reads a stream to its end, or until its caller has received the given number of events and closes the connection.
const read = async (
	address: string,
	continued?: Continuation,
	leaveAfter = Infinity,
): Promise<Received> => {
	attempts += 1;
	const requestId = `attempt-${attempts}`;
	const startedAt = performance.now();
	const controller = new AbortController();
	let status = 0;
	let text = '';
	let isWhole = false;
	const events = () => [...text.matchAll(eventPattern)];
	try {
		const answer = await request(`http://${address}/a/draft`, {
			method: 'POST',
			body: 'work',
			signal: controller.signal,
			headers: {
				host: 'site.example',
				[standInHeaders.requestId]: requestId,
				[standInHeaders.remainingMs]: '4000',
				...(continued?.lastEventId !== undefined && {
					'last-event-id': continued.lastEventId,
					...(continued.isNamed !== false && {
						[standInHeaders.continuedRequestId]: continued.requestId,
					}),
				}),
			},
		});
		status = answer.statusCode;
		for await (const chunk of answer.body) {
			text += String(chunk);
			if (events().length >= leaveAfter) {
				controller.abort();
			}
		}

		isWhole = status === 200;
	} catch {
		isWhole = false;
	}

	return {
		requestId,
		status,
		lastEventId: events().at(-1)?.groups?.id,
		versions: [...new Set(events().map(({groups}) => groups!.version!))],
		isWhole,
		totalMs: performance.now() - startedAt,
	};
};

const readMany = async (
	readOne: (index: number) => Promise<Received>,
): Promise<readonly Received[]> =>
	Promise.all(
		Array.from({length: streams}, async (_, index) => {
			await sleep(index * pauseBetweenMs);
			return readOne(index);
		}),
	);

const addressOf = ({deployment}: Scene, index: number): string =>
	deployment.callerAddresses[index % nodes]!;

const beginStreams = async (scene: Scene): Promise<readonly Received[]> =>
	readMany(async (index) =>
		read(addressOf(scene, index), undefined, receivedBeforeBreak),
	);

const takeUp = async (
	scene: Scene,
	begun: readonly Received[],
	shift: number,
	isNamed = true,
): Promise<readonly Received[]> =>
	readMany(async (index) =>
		read(addressOf(scene, index + shift), {...begun[index]!, isNamed}),
	);

// Streams with events of a version other than the one that began them.
const joinedOf = (
	begun: readonly Received[],
	continued: readonly Received[],
): readonly Received[] =>
	continued.filter(
		({versions}, index) =>
			versions.length > 0 && versions.join(' ') !== begun[index]!.versions[0],
	);

const fractionWhole = (received: readonly Received[]): number =>
	received.filter(({isWhole}) => isWhole).length / received.length;

const twoOfEach: readonly ServerPlan[] = [
	{zone: 'north-1', version: 'v1'},
	{zone: 'north-2', version: 'v1'},
	{zone: 'north-1', version: 'v2'},
	{zone: 'north-2', version: 'v2'},
];

test('a stream that breaks off within its answer is not continued by another software version', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach, oneRegion, {maximumAttempts: 3});
	scene.servers[0]!.breakOff('always');
	const received = await readMany(async (index) =>
		read(addressOf(scene, index)),
	);
	t.assert.deepStrictEqual(
		received.filter(({versions}) => versions.length > 1),
		[],
	);
	t.assert.ok(fractionWhole(received) >= requiredFraction);
});

test('a stream that breaks off at a server of another region is not continued by another software version', async (t: TestContext) => {
	const scene = await setUp(
		t,
		[
			{zone: 'south', version: 'v1'},
			{zone: 'south', version: 'v1'},
		],
		twoRegions,
		{maximumAttempts: 3},
	);
	const pending = readMany(async (index) => read(addressOf(scene, 2 * index)));
	await sleep(100);
	const local = await startVersionedServer(scene.deployment.registry, {
		id: 'engine-local',
		service: 'engine',
		address: scene.deployment.nextAddress(),
		availabilityZone: 'north',
		slots: 32,
		softwareVersion: 'v2',
	});
	t.after(local.close);
	await sleep(100);
	scene.servers[0]!.breakOff('now');
	scene.servers[1]!.breakOff('now');
	const received = await pending;
	t.assert.deepStrictEqual(
		received.filter(({versions}) => versions.length > 1),
		[],
	);
});

test('a stream that its caller takes up at another node is not continued by another software version', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach);
	const begun = await beginStreams(scene);
	const continued = await takeUp(scene, begun, 1);
	t.assert.deepStrictEqual(joinedOf(begun, continued), []);
	t.assert.ok(fractionWhole(continued) >= requiredFraction);
});

test('a stream that its caller takes up in another region is not continued by another software version', async (t: TestContext) => {
	const scene = await setUp(
		t,
		[
			{zone: 'north', version: 'v1'},
			{zone: 'north', version: 'v1'},
			{zone: 'south', version: 'v2'},
			{zone: 'south', version: 'v2'},
		],
		twoRegions,
	);
	const begun = await beginStreams(scene);
	const continued = await takeUp(scene, begun, 1);
	t.assert.deepStrictEqual(joinedOf(begun, continued), []);
	t.assert.ok(fractionWhole(continued) >= requiredFraction);
});

test('a stream that is taken up after its node was killed is not continued by another software version', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach);
	const begun = await beginStreams(scene);
	await scene.deployment.restart(1);
	await scene.deployment.restart(2);
	const continued = await takeUp(scene, begun, 1);
	t.assert.deepStrictEqual(joinedOf(begun, continued), []);
	t.assert.ok(fractionWhole(continued) >= requiredFraction);
});

test('a stream whose software version has no server left is refused at once and said not to have run', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach);
	const begun = await beginStreams(scene);
	await scene.servers[0]!.leave();
	await scene.servers[1]!.leave();
	await sleep(500);
	const continued = await takeUp(scene, begun, 1);
	const gone = continued.filter(
		(_, index) => begun[index]!.versions[0] === 'v1',
	);
	t.assert.ok(gone.length > 0);
	for (const {status, totalMs} of gone) {
		t.assert.strictEqual(status, 503);
		t.assert.ok(totalMs < 1000, `${totalMs} ms`);
	}

	const others = continued.filter(
		(_, index) => begun[index]!.versions[0] === 'v2',
	);
	t.assert.ok(
		others.every(({isWhole, versions}) => isWhole && versions[0] === 'v2'),
	);
});

test('a stream is continued by any server while all of them have the same software version', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach.slice(0, 2));
	const begun = await beginStreams(scene);
	const continued = await takeUp(scene, begun, 1);
	t.assert.deepStrictEqual(joinedOf(begun, continued), []);
	t.assert.strictEqual(fractionWhole(continued), 1);
	t.assert.ok(
		continued.every(({lastEventId}) => lastEventId === `${versionedEvents}`),
	);
});

// Guards against streams that are broken off because their servers number events by the tokens so far.
test('streams whose event ids rise by six are whole, also after a break and taken up in another region', async (t: TestContext) => {
	const eventStep = 6;
	const scene = await setUp(
		t,
		[
			{zone: 'north', version: 'v1'},
			{zone: 'north', version: 'v1'},
			{zone: 'south', version: 'v1'},
			{zone: 'south', version: 'v1'},
		],
		twoRegions,
		{},
		eventStep,
	);
	const begun = await beginStreams(scene);
	const continued = await takeUp(scene, begun, 1);
	t.assert.strictEqual(fractionWhole(continued), 1);
	scene.servers[0]!.breakOff('always');
	const others = await readMany(async (index) => read(addressOf(scene, index)));
	t.assert.strictEqual(fractionWhole(others), 1);
	for (const {lastEventId} of [...continued, ...others]) {
		t.assert.strictEqual(lastEventId, String(versionedEvents * eventStep));
	}
});

type WholeReturn = {
	readonly name: string;
	readonly isNamed: boolean;
	readonly before?: (scene: Scene) => Promise<void>;
	readonly whileStopped?: (scene: Scene) => Promise<void>;
	readonly after?: (scene: Scene) => Promise<void>;
};

const removeFirstVersion = async ({servers}: Scene): Promise<void> => {
	await Promise.all(servers.slice(0, 2).map(async (server) => server.leave()));
};

const wholeReturns: readonly WholeReturn[] = [true, false].flatMap(
	(isNamed) => {
		const callers = isNamed ? 'named' : 'unnamed';
		return [
			{
				name: `the version leaves before it, ${callers} requests`,
				isNamed,
				async before(scene: Scene) {
					await removeFirstVersion(scene);
					await sleep(300);
				},
			},
			{
				name: `the version leaves meanwhile, ${callers} requests`,
				isNamed,
				whileStopped: removeFirstVersion,
			},
			{
				name: `the version leaves after it, ${callers} requests`,
				isNamed,
				async after(scene: Scene) {
					await removeFirstVersion(scene);
					await sleep(300);
				},
			},
			{
				name: `one server of the version is left, ${callers} requests`,
				isNamed,
				async whileStopped({servers}: Scene) {
					await servers[0]!.leave();
				},
			},
		];
	},
);

// Guards against streams that nodes without memory continue by the only version that they have ever seen.
for (const {name, isNamed, before, whileStopped, after} of wholeReturns) {
	test(`a stream is not joined from two versions after all nodes were killed and have returned; ${name}`, async (t: TestContext) => {
		const scene = await setUp(t, twoOfEach);
		const begun = await beginStreams(scene);
		await before?.(scene);
		await scene.deployment.restartAllBut([], async () => {
			await whileStopped?.(scene);
		});
		await waitUntilConnected(scene.deployment);
		await after?.(scene);
		const continued = await takeUp(scene, begun, 1, isNamed);
		t.assert.deepStrictEqual(joinedOf(begun, continued), []);
		t.assert.ok(
			continued.every(({status, totalMs}) => status !== 503 || totalMs < 1000),
		);
	});
}

test('streams are still taken up if one node has lived on while all others were killed', async (t: TestContext) => {
	const scene = await setUp(t, twoOfEach.slice(0, 2), oneRegion, {
		timeoutMs: keptTimeoutMs,
	});
	// The memory of the node that lives on reaches back for as long as a stream can have lasted.
	await sleep(2 * keptTimeoutMs);
	const begun = await beginStreams(scene);
	await scene.deployment.restartAllBut([0], async () => undefined);
	await waitUntilConnected(scene.deployment);
	let served = 0;
	// Nodes ask others that they draw, so it takes some rounds until each has asked one that knows. All of them together are shorter
	// than the time after which the nodes that have started know by themselves.
	for (let round = 0; round < keptRounds && served < 1; round += 1) {
		const continued = await takeUp(scene, begun, 1, false);
		t.assert.deepStrictEqual(joinedOf(begun, continued), []);
		served = fractionWhole(continued);
	}

	t.assert.strictEqual(served, 1);
});
