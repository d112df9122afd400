import {test, type TestContext} from 'node:test';
import {createRandom} from '../../src/shared/index.ts';
import {
	lookupRepeatMs,
	lookupTimeoutMs,
} from '../../src/stream-origins/index.ts';
import {memberOf} from '../fixtures.ts';
import {createOriginNetwork} from './origin-network.ts';

const regionOf = (zone: string): string => zone.slice(0, 1);
const zones = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const members = Array.from({length: 18}, (_, index) =>
	memberOf(`node-${index}`, zones[index % zones.length]!),
);
const origin = {service: 'engine', softwareVersion: 'v1'};
const streams = 60;
const lifeMs = 8000;

test('a stream is found at any node after the node that began it restarts', (t: TestContext) => {
	const network = createOriginNetwork(t, {members, regionOf});
	for (let index = 0; index < streams; index += 1) {
		const writer = index % members.length;
		network.origins(writer).record(`request-${index}`, origin, lifeMs);
		network.pass(60);
		network.restart(writer);
		const reader = (writer + 1 + index) % members.length;
		t.assert.deepStrictEqual(
			network.search(reader, `request-${index}`),
			origin,
		);
	}
});

test('at least half of the streams are found after half of all nodes restart', (t: TestContext) => {
	const network = createOriginNetwork(t, {members, regionOf});
	for (let index = 0; index < streams; index += 1) {
		network
			.origins(index % members.length)
			.record(`request-${index}`, origin, lifeMs);
	}

	network.pass(60);
	const random = createRandom(3);
	const gone = new Set(
		members.map((_, index) => index).filter(() => random.fraction() < 0.5),
	);
	for (const index of gone) {
		network.restart(index);
	}

	// Callers come back to a node of the same zone that has not restarted.
	const found = Array.from({length: streams}, (_, index) => {
		const {availabilityZone} = members[index % members.length]!;
		const reader = members.findIndex(
			(member, each) =>
				member.availabilityZone === availabilityZone && !gone.has(each),
		);
		return reader === -1
			? undefined
			: network.search(reader, `request-${index}`);
	});
	t.assert.ok(found.filter(Boolean).length >= streams / 2);
});

test('at least half of the streams are found in another region although a fifth of all datagrams is lost', (t: TestContext) => {
	const random = createRandom(5);
	const network = createOriginNetwork(t, {
		members,
		regionOf,
		isLost: () => random.fraction() < 0.2,
	});
	let found = 0;
	for (let index = 0; index < streams; index += 1) {
		network.origins(0).record(`request-${index}`, origin, lifeMs);
		network.pass(60);
		found += network.search(2, `request-${index}`) ? 1 : 0;
	}

	t.assert.ok(found >= streams / 2, `${found}`);
});

test('a search ends as soon as all nodes that were asked have no record, and in time if they do not answer', (t: TestContext) => {
	const reachable = createOriginNetwork(t, {members, regionOf});
	t.assert.strictEqual(reachable.search(0, 'unknown'), undefined);
	t.assert.ok(reachable.now() < lookupTimeoutMs);
	t.mock.timers.reset();

	const cut = createOriginNetwork(t, {members, regionOf, isLost: () => true});
	t.assert.strictEqual(cut.search(0, 'unknown'), undefined);
	t.assert.ok(cut.now() <= lookupTimeoutMs + 10);
});

test('holders that the first question did not reach are asked again', (t: TestContext) => {
	let isCut = false;
	const network = createOriginNetwork(t, {
		members,
		regionOf,
		isLost: () => isCut,
	});
	network.origins(0).record('request', origin, lifeMs);
	network.pass(60);
	isCut = true;
	setTimeout(() => {
		isCut = false;
	}, lookupRepeatMs / 2);
	t.assert.deepStrictEqual(network.search(2, 'request'), origin);
});

test('a search that is cancelled has no result', (t: TestContext) => {
	const network = createOriginNetwork(t, {members, regionOf});
	const results: unknown[] = [];
	const cancel = network.origins(1).find('unknown', Infinity, (result) => {
		results.push(result);
	});
	cancel();
	network.pass(lookupTimeoutMs * 2);
	t.assert.deepStrictEqual(results, []);
});

test('messages per stream do not grow with the number of nodes', (t: TestContext) => {
	const network = createOriginNetwork(t, {
		members: Array.from({length: 120}, (_, index) =>
			memberOf(`node-${index}`, zones[index % zones.length]!),
		),
		regionOf,
	});
	network.origins(0).record('request', origin, lifeMs);
	t.assert.strictEqual(network.messages(), 2);
	network.pass(60);
	network.search(5, 'request');
	// Up to four questions and as many answers.
	t.assert.ok(network.messages() <= 2 + 8);
});
