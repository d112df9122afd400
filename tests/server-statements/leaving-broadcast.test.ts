import {test, type TestContext} from 'node:test';
import type {ServerLeavingMessage} from '../../src/peers/leaving-messages.ts';
import {createNodeOrder, createRandom} from '../../src/shared/index.ts';
import {
	createLeavingBroadcast,
	leavingBroadcastCount,
	leavingBroadcastIntervalMs,
} from '../../src/server-statements/index.ts';

const tickMs = 20;

type Play = {
	readonly nodes: number;
	/**
	Which nodes the server tells, and when.
	*/
	readonly told: ReadonlyMap<number, number>;
	readonly lossOf: () => boolean;
	/**
	Nodes that hear and tell nothing.
	*/
	readonly down?: ReadonlySet<number>;
};

// Plays a region in which messages arrive within a tick.
const playRegion = ({nodes, told, lossOf, down = new Set()}: Play) => {
	const ids = Array.from({length: nodes}, (_, index) => `node-${index}`);
	const known = new Set<number>();
	let messages = 0;
	let inbox: Array<{
		readonly to: number;
		readonly message: ServerLeavingMessage;
	}> = [];
	const broadcasts = ids.map((self, index) =>
		createLeavingBroadcast({
			self,
			order: createNodeOrder(self, () => ids),
			sendToPeers(message) {
				for (const to of ids.keys()) {
					if (to === index) {
						continue;
					}

					messages += 1;
					if (!lossOf() && !down.has(to)) {
						inbox.push({to, message});
					}
				}
			},
		}),
	);
	const endMs = 2 * leavingBroadcastCount * leavingBroadcastIntervalMs + 2000;
	for (let now = 0; now < endMs; now += tickMs) {
		const arrived = inbox;
		inbox = [];
		for (const {to, message} of arrived) {
			for (const {incarnationId} of message.servers) {
				broadcasts[to]!.recordPeerBroadcast(incarnationId);
				known.add(to);
			}
		}

		for (const [index, at] of told) {
			if (at === now && !known.has(index)) {
				broadcasts[index]!.recordAnnouncement(
					{server: 'a', incarnationId: 'a 1'},
					now,
				);
				known.add(index);
			}
		}

		for (const [index, broadcast] of broadcasts.entries()) {
			if (!down.has(index)) {
				broadcast.tick(now);
			}
		}
	}

	return {known: known.size, messages};
};

const isNeverLost = () => false;

test('all nodes hear of a shutdown that the server told one of them', (t: TestContext) => {
	const {known, messages} = playRegion({
		nodes: 95,
		told: new Map([[40, 0]]),
		lossOf: isNeverLost,
	});
	t.assert.strictEqual(known, 95);
	t.assert.strictEqual(messages, 94 * leavingBroadcastCount);
});

test('messages do not grow with the square of the nodes when the server tells all of them at once', (t: TestContext) => {
	const told = new Map(Array.from({length: 95}, (_, index) => [index, 0]));
	const {messages} = playRegion({nodes: 95, told, lossOf: isNeverLost});
	t.assert.ok(messages <= 2 * 94 * leavingBroadcastCount, String(messages));
});

test('with every fifth message lost, at most one node in a hundred is not told', (t: TestContext) => {
	let missed = 0;
	for (let seed = 1; seed <= 50; seed += 1) {
		const random = createRandom(seed);
		const {known} = playRegion({
			nodes: 10,
			told: new Map([[seed % 10, 0]]),
			lossOf: () => random.below(5) === 0,
		});
		missed += 10 - known;
	}

	t.assert.ok(missed <= 5, `${missed} of 500`);
});

test('a node that is told broadcasts also when those before it in the order are down', (t: TestContext) => {
	for (let told = 0; told < 9; told += 1) {
		const down = new Set(Array.from({length: 9}, (_, index) => index));
		const other = (told + 1) % 9;
		down.delete(told);
		down.delete(other);
		const {known} = playRegion({
			nodes: 9,
			told: new Map([[told, 0]]),
			lossOf: isNeverLost,
			down,
		});
		t.assert.strictEqual(known, 2);
	}
});
