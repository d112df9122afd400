import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createMembership,
	hasRole,
	hasPrecedence,
	listEntryVms,
	nodesPerRole,
	type Member,
	type Membership,
	type MembershipAction,
	type MembershipMessage,
} from '../../src/membership/index.ts';
import {createRandom} from '../../src/shared/index.ts';
import {fixedRandom, memberOf} from '../fixtures.ts';

// A few nodes in simulated time, with a network that can be partitioned and nodes that can be frozen.
type Network = {
	readonly nodes: Map<string, Membership>;
	readonly blockedLinks: Set<string>;
	readonly frozen: Set<string>;
	now: number;
	sent: number;
};

const createNetwork = (
	names: readonly string[],
	zonesOf: (name: string) => string,
	seed = 3,
): Network => {
	const members = names.map((name) => memberOf(name, zonesOf(name)));
	const nodes = new Map(
		members.map((self, index) => [
			self.id,
			createMembership({self, random: createRandom(seed + index)}),
		]),
	);
	const network: Network = {
		nodes,
		blockedLinks: new Set(),
		frozen: new Set(),
		now: 0,
		sent: 0,
	};
	for (const node of nodes.values()) {
		node.handle(
			{
				kind: 'vm-list',
				entryVms: members.map((member) => ({...member, incarnation: 0})),
			},
			0,
		);
	}

	return network;
};

const isOpen = (network: Network, from: string, to: string) =>
	!network.blockedLinks.has(`${from}>${to}`) &&
	!network.frozen.has(from) &&
	!network.frozen.has(to);

const deliver = (
	network: Network,
	from: string,
	actions: readonly MembershipAction[],
) => {
	const queue: Array<{
		readonly from: string;
		readonly to: string;
		readonly message: MembershipMessage;
	}> = [];
	const add = (sender: string, list: readonly MembershipAction[]) => {
		for (const action of list) {
			if (action.kind !== 'send') {
				continue;
			}

			network.sent += 1;
			queue.push({from: sender, to: action.to.id, message: action.message});
		}
	};

	add(from, actions);
	for (let next = queue.shift(); next; next = queue.shift()) {
		const node = network.nodes.get(next.to);
		if (node && isOpen(network, next.from, next.to)) {
			add(
				next.to,
				node.handle({kind: 'message', message: next.message}, network.now),
			);
		}
	}
};

const run = (network: Network, milliseconds: number) => {
	const until = network.now + milliseconds;
	while (network.now < until) {
		network.now += 100;
		for (const [name, node] of network.nodes) {
			if (!network.frozen.has(name)) {
				deliver(network, name, node.handle({kind: 'tick'}, network.now));
			}
		}
	}
};

const statusOf = (network: Network, viewer: string, name: string) =>
	network.nodes.get(viewer)!.find(name)?.status;
const names = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'];
const zoneOf = (name: string) => name[0]!;

test('all nodes learn that all other nodes are alive', () => {
	const network = createNetwork(names, zoneOf);
	run(network, 15_000);
	for (const viewer of names) {
		for (const name of names.filter((other) => other !== viewer)) {
			assert.equal(statusOf(network, viewer, name), 'alive');
			assert.equal(network.nodes.get(viewer)!.find(name)!.incarnation, 1);
		}
	}
});

test('all nodes consider an unreachable node dead, and alive again when it returns', () => {
	const network = createNetwork(names, zoneOf);
	run(network, 5000);
	network.frozen.add('a1');
	run(network, 20_000);
	assert.ok(
		names
			.slice(1)
			.every((viewer) => statusOf(network, viewer, 'a1') === 'dead'),
	);
	network.frozen.delete('a1');
	run(network, 30_000);
	assert.ok(
		names
			.slice(1)
			.every((viewer) => statusOf(network, viewer, 'a1') === 'alive'),
	);
});

test('a broken link between two nodes that are reachable through others makes neither of them dead', () => {
	const network = createNetwork(names, zoneOf);
	run(network, 5000);
	network.blockedLinks.add('a1>a2').add('a2>a1');
	run(network, 30_000);
	assert.notEqual(statusOf(network, 'a1', 'a2'), 'dead');
	assert.notEqual(statusOf(network, 'b1', 'a2'), 'dead');
});

test('two zones find each other again after a partition, without the VM list', () => {
	const network = createNetwork(names, zoneOf);
	run(network, 5000);
	for (const left of names.filter((name) => zoneOf(name) === 'a')) {
		for (const right of names.filter((name) => zoneOf(name) === 'b')) {
			network.blockedLinks.add(`${left}>${right}`).add(`${right}>${left}`);
		}
	}

	run(network, 60_000);
	assert.equal(statusOf(network, 'a1', 'b1'), 'dead');
	assert.equal(statusOf(network, 'a1', 'a2'), 'alive');
	network.blockedLinks.clear();
	run(network, 60_000);
	for (const viewer of names) {
		for (const name of names.filter((other) => other !== viewer)) {
			assert.equal(
				statusOf(network, viewer, name),
				'alive',
				`${viewer} of ${name}`,
			);
		}
	}
});

test('a partitioned zone considers all members of the other zones dead within 14 s, for all seeds', () => {
	const few = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
	for (let seed = 1; seed <= 60; seed += 1) {
		const network = createNetwork(few, zoneOf, seed * 100);
		run(network, 5000);
		for (const left of few) {
			for (const right of few.filter((name) => zoneOf(name) !== zoneOf(left))) {
				network.blockedLinks.add(`${left}>${right}`);
			}
		}

		run(network, 14_000);
		for (const name of ['b1', 'b2', 'c1', 'c2']) {
			assert.equal(
				statusOf(network, 'a1', name),
				'dead',
				`${name}, seed ${seed}`,
			);
		}
	}
});

test('the leaving status reaches all nodes, and only a later process of the node reverts it', () => {
	const network = createNetwork(names, zoneOf);
	run(network, 5000);
	deliver(
		network,
		'a1',
		network.nodes.get('a1')!.handle({kind: 'leave'}, network.now),
	);
	run(network, 10_000);
	assert.ok(
		names
			.slice(1)
			.every((viewer) => statusOf(network, viewer, 'a1') === 'leaving'),
	);
	const returned = memberOf('a1', 'a', {incarnation: 2});
	network.nodes
		.get('a2')!
		.handle({kind: 'state', members: [returned]}, network.now);
	assert.equal(statusOf(network, 'a2', 'a1'), 'alive');
});

test('the number of messages per node does not grow with the fleet', () => {
	const sentBy = (count: number) => {
		const many = Array.from({length: count}, (_, index) => `a${index}`);
		const network = createNetwork(many, zoneOf);
		run(network, 20_000);
		return network.sent / count / 20;
	};

	assert.ok(
		sentBy(27) < 1.3 * sentBy(6),
		`${sentBy(6)} and ${sentBy(27)} a second`,
	);
});

const status = fc.constantFrom('alive', 'suspect', 'dead', 'leaving');
const update = fc.record({
	incarnation: fc.integer({min: 0, max: 2}),
	revision: fc.integer({min: 0, max: 2}),
	status,
});

test('for updates in any order, an earlier process never replaces a later one, and leaving is not reverted', () => {
	fc.assert(
		fc.property(fc.array(update, {maxLength: 20}), (updates) => {
			const membership = createMembership({
				self: memberOf('self', 'a'),
				random: fixedRandom(),
			});
			let before: Member | undefined;
			for (const change of updates) {
				membership.handle(
					{
						kind: 'state',
						members: [memberOf('other', 'a', change)],
					},
					0,
				);
				const after = membership.find('other')!;
				assert.ok(!before || after.incarnation >= before.incarnation);
				if (
					before?.status === 'leaving' &&
					after.incarnation === before.incarnation
				) {
					assert.ok(after.status === 'leaving' || after.status === 'dead');
				}

				before = after;
			}
		}),
		{numRuns: 3000},
	);
});

test('two updates never both take precedence over each other', () => {
	fc.assert(
		fc.property(update, update, (left, right) => {
			const one = memberOf('m', 'a', left);
			const two = memberOf('m', 'a', right);
			assert.ok(!(hasPrecedence(one, two) && hasPrecedence(two, one)));
		}),
	);
});

test('entry VMs of the own zone come first, and leaving and dead ones are left out', () => {
	const self = memberOf('s', 'a', {callerAddress: '127.0.0.1:1'});
	const members = [
		memberOf('b', 'b', {callerAddress: '127.0.0.1:2'}),
		memberOf('c', 'a', {callerAddress: '127.0.0.1:3'}),
		memberOf('d', 'a', {callerAddress: '127.0.0.1:4', status: 'leaving'}),
		memberOf('e', 'a', {callerAddress: '127.0.0.1:5', status: 'dead'}),
	];
	const {entryVms} = listEntryVms(self, members, fixedRandom());
	assert.deepEqual(
		new Set(entryVms.slice(0, 2)),
		new Set(['http://127.0.0.1:1', 'http://127.0.0.1:3']),
	);
	assert.deepEqual(entryVms.slice(2), ['http://127.0.0.1:2']);
});

test('each role is held by a few nodes of a zone, and by other nodes after those are gone', () => {
	const zone = Array.from({length: 9}, (_, index) =>
		memberOf(`n${index}`, 'a'),
	);
	const holdersAmong = (members: readonly Member[]) =>
		members.filter((self) =>
			hasRole(
				'watch',
				self,
				members.filter((other) => other !== self),
			),
		);
	const holders = holdersAmong(zone);
	assert.equal(holders.length, nodesPerRole);
	const left = zone.filter((member) => !holders.includes(member));
	assert.equal(holdersAmong(left).length, nodesPerRole);
});

test('a process that restarts after its clock went back is not considered dead like its predecessor', () => {
	const earlier: Member = {
		id: 'restarted',
		availabilityZone: 'zone-a',
		peerAddress: '10.0.0.9:1',
		callerAddress: '10.0.0.9:2',
		incarnation: 5000,
		revision: 3,
		status: 'dead',
	};
	const restarted = createMembership({
		self: {...earlier, incarnation: 2000, revision: 0, status: 'alive'},
		random: createRandom(1),
	});
	const other = createMembership({
		self: {...earlier, id: 'other', status: 'alive'},
		random: createRandom(2),
	});
	other.handle({kind: 'state', members: [earlier]}, 0);
	restarted.handle({kind: 'state', members: other.members()}, 0);
	other.handle({kind: 'state', members: [restarted.self()]}, 0);
	assert.equal(other.find('restarted')?.status, 'alive');
});
