import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createClientDirectory} from '../../../src/clients/index.ts';
import {
	createLimitSharing,
	usageIntervalMs,
} from '../../../src/gateway/sharing/limit-sharing.ts';
import type {Member} from '../../../src/membership/index.ts';
import type {PeerMessage} from '../../../src/peers/peer-message-codec.ts';
import {memberOf} from '../../fixtures.ts';
import {accountOf, routeOf} from '../fixtures.ts';

const limit = {
	unit: 'tokens',
	perSecond: 1000,
	burst: 1000,
	plainTokens: 200,
} as const;

type Sent = {readonly from: string; readonly to: string; readonly kind: string};

// Creates nodes of two zones whose messages arrive at once.
const setUp = (
	zonesOfNodes: readonly string[],
	account = accountOf({limit}),
) => {
	const members = zonesOfNodes.map((availabilityZone, index) =>
		memberOf(`node-${index}`, availabilityZone),
	);
	const directory = createClientDirectory([account], [routeOf()]);
	const sent: Sent[] = [];
	let now = 0;
	const deliver = (to: Member, message: PeerMessage) => {
		if ('usages' in message || 'usage' in message || 'totals' in message) {
			nodes[members.indexOf(to)]!.receive(message, now);
		}
	};

	const nodes = members.map((self) => {
		const usable = members.filter(({id}) => id !== self.id);
		return createLimitSharing({
			mesh: {
				self: () => self,
				usable: () => usable,
				others: () => usable,
				send(receivers, message) {
					for (const to of receivers) {
						sent.push({from: self.id, to: to.id, kind: message.kind});
						deliver(to, message);
					}
				},
			},
			clients: () => directory,
			windowMs: 8000,
			zones: ['zone-a', 'zone-b'],
			hasSettled: () => true,
			nodes: () => members.length,
			randomFraction: () => 0.999,
		});
	});
	return {
		nodes,
		sent,
		members,
		turn() {
			now += usageIntervalMs;
			for (const node of nodes) {
				node.tick(now);
			}
		},
		admit: (index: number, tokens: number | undefined) =>
			nodes[index]!.admit('account', tokens, now).kind,
	};
};

test('requests admitted by one node count at all others, in other zones too', () => {
	const {admit, turn} = setUp(['zone-a', 'zone-a', 'zone-b', 'zone-b']);
	turn();
	turn();
	assert.equal(admit(0, 4000), 'admitted');
	for (let index = 0; index < 4; index += 1) {
		turn();
	}

	for (const index of [0, 1, 2, 3]) {
		assert.equal(admit(index, 5000), 'limited');
	}
});

test('nodes exchange messages with the role holder of their zone, and only holders send messages between zones', () => {
	const {admit, turn, sent, members} = setUp([
		'zone-a',
		'zone-a',
		'zone-a',
		'zone-b',
		'zone-b',
	]);
	for (const index of members.keys()) {
		admit(index, 10);
	}

	turn();
	const zoneOf = (id: string) =>
		members.find((member) => member.id === id)?.availabilityZone;
	const holders = new Set(
		sent.filter(({kind}) => kind === 'totals').map(({from}) => from),
	);
	assert.equal(holders.size, 2);
	assert.equal(sent.length, 3 + 2 + 3);
	for (const {from, to, kind} of sent) {
		assert.equal(zoneOf(from) === zoneOf(to), kind !== 'zone');
		assert.equal(holders.has(from), kind !== 'node');
		assert.equal(holders.has(to), kind !== 'totals');
	}
});

test('without limits nothing is sent, and everything is admitted', () => {
	const {admit, turn, sent} = setUp(['zone-a', 'zone-b'], accountOf());
	for (let index = 0; index < 50; index += 1) {
		assert.equal(admit(0, 17_000), 'admitted');
		turn();
	}

	assert.deepEqual(sent, []);
});

test('requests that state no tokens count as the plain tokens of the account', () => {
	const {admit, nodes, turn} = setUp(['zone-a', 'zone-b']);
	turn();
	admit(0, undefined);
	const state = nodes[0]!.states(usageIntervalMs).get('account');
	assert.equal(state?.usage.admitted, limit.plainTokens);
	assert.equal(state.admissionFraction, 1);
});
