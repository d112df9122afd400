import {test, type TestContext} from 'node:test';
import type {ServerLeavingMessage} from '../../src/peers/leaving-messages.ts';
import {createNodeOrder, createRandom} from '../../src/shared/index.ts';
import {
	createLeavingBroadcast,
	leavingBroadcastCount,
	leavingBroadcastIntervalMs,
} from '../../src/server-statements/index.ts';

const tickMs = 20;

type Simulation = {
	readonly nodes: number;
	/**
	Nodes to which the server announces its shutdown, and the times.
	*/
	readonly announced: ReadonlyMap<number, number>;
	readonly isLost: () => boolean;
	/**
	Nodes that neither receive nor send messages.
	*/
	readonly down?: ReadonlySet<number>;
};

// Simulates a region in which messages arrive within a tick.
const simulateRegion = ({
	nodes,
	announced,
	isLost,
	down = new Set(),
}: Simulation) => {
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
					if (!isLost() && !down.has(to)) {
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

		for (const [index, at] of announced) {
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

test('all nodes learn of a shutdown that the server announced to one of them', (t: TestContext) => {
	const {known, messages} = simulateRegion({
		nodes: 95,
		announced: new Map([[40, 0]]),
		isLost: isNeverLost,
	});
	t.assert.strictEqual(known, 95);
	t.assert.strictEqual(messages, 94 * leavingBroadcastCount);
});

test('messages do not grow with the square of the nodes when the server announces its shutdown to all at once', (t: TestContext) => {
	const announced = new Map(Array.from({length: 95}, (_, index) => [index, 0]));
	const {messages} = simulateRegion({
		nodes: 95,
		announced,
		isLost: isNeverLost,
	});
	t.assert.ok(messages <= 2 * 94 * leavingBroadcastCount, String(messages));
});

test('with every fifth message lost, at most one node in a hundred does not learn of a shutdown', (t: TestContext) => {
	let missed = 0;
	for (let seed = 1; seed <= 50; seed += 1) {
		const random = createRandom(seed);
		const {known} = simulateRegion({
			nodes: 10,
			announced: new Map([[seed % 10, 0]]),
			isLost: () => random.below(5) === 0,
		});
		missed += 10 - known;
	}

	t.assert.ok(missed <= 5, `${missed} of 500`);
});

test('a node broadcasts even if the nodes before it in the order are down', (t: TestContext) => {
	for (let announced = 0; announced < 9; announced += 1) {
		const down = new Set(Array.from({length: 9}, (_, index) => index));
		const other = (announced + 1) % 9;
		down.delete(announced);
		down.delete(other);
		const {known} = simulateRegion({
			nodes: 9,
			announced: new Map([[announced, 0]]),
			isLost: isNeverLost,
			down,
		});
		t.assert.strictEqual(known, 2);
	}
});
