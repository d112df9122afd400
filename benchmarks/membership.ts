// Cost of heartbeats against the number of members, in process and in virtual time, with the real
// encoding; and the time until a configuration is in force and a dead node is known.
import process from 'node:process';
import {createDigestTable, type DigestTable} from '../src/digests/index.ts';
import {
	createMembership,
	type Member,
	type Membership,
	type MembershipAction,
} from '../src/membership/index.ts';
import {createHeartbeatCodec, createSealer} from '../src/peers/index.ts';
import {createRandom} from '../src/shared/index.ts';
import {createTimeline} from './model/engine-model.ts';
import {printTable, type Row} from './table.ts';

const seconds = 30;
const tickMs = 100;
const latencyMs = 2;
const wideLatencyMs = 60;
const nodesPerZone = 27;
const workersPerZone = 50;
const digestBudget = 700;
const fetchMs = 20;
const longestWatchMs = 60_000;

type ModelNode = {
	readonly membership: Membership;
	readonly digests: DigestTable;
	version: number;
	isDead: boolean;
};

// Seconds since the load of each server was true, as one node knows it; of two nodes that read
// a server the later statement counts.
const loadAges = (digests: DigestTable, now: number): readonly number[] => {
	const ages = new Map<string, number>();
	for (const {value, observedAt} of digests.values('loads', now)) {
		for (const {backendServer} of value.reports) {
			const age = (now - observedAt) / 1000;
			ages.set(backendServer, Math.min(age, ages.get(backendServer) ?? age));
		}
	}

	return ages.values().toArray();
};

const measure = (members: number): Row => {
	const timeline = createTimeline();
	const codec = createHeartbeatCodec(createSealer('a key shared by all nodes'));
	const zoneOf = (index: number) => `zone-${Math.floor(index / nodesPerZone)}`;
	const selves: readonly Member[] = Array.from(
		{length: members},
		(_, index) => ({
			id: `node-${index}`,
			availabilityZone: zoneOf(index),
			peerAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:8001`,
			callerAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
			incarnation: 1_796_000_000_000 + index,
			revision: 0,
			status: 'alive',
		}),
	);
	const nodes = new Map<string, ModelNode>(
		selves.map((self, index) => [
			self.id,
			{
				membership: createMembership({self, random: createRandom(index + 1)}),
				digests: createDigestTable({
					node: self.id,
					availabilityZone: self.availabilityZone,
					incarnation: () => self.incarnation,
					sizeOf: codec.sizeOf,
				}),
				version: 1,
				isDead: false,
			},
		]),
	);
	const counts = {messages: 0, bytes: 0};
	let inForceAt = 0;
	let isCounting = false;

	const accept = (node: ModelNode, version: number) => {
		if (!(version > node.version)) {
			return;
		}

		node.version = version;
		inForceAt = timeline.now();
		perform(node, node.membership.handle({kind: 'announce'}, timeline.now()));
	};

	const perform = (node: ModelNode, actions: readonly MembershipAction[]) => {
		for (const action of actions) {
			if (action.kind !== 'send') {
				continue;
			}

			const {to, message} = action;
			const digests = node.digests.select(
				to.availabilityZone,
				digestBudget,
				members,
				timeline.now(),
			);
			const datagram = codec.encode({
				message,
				stamp: {version: node.version, digest: '0123456789ab'},
				digests,
			});
			if (isCounting) {
				counts.messages += 1;
				counts.bytes += datagram.length;
			}

			const isNear =
				to.availabilityZone === node.membership.self().availabilityZone;
			timeline.schedule(
				timeline.now() + (isNear ? latencyMs : wideLatencyMs),
				() => {
					const receiver = nodes.get(to.id)!;
					if (receiver.isDead) {
						return;
					}

					const heard = codec.decode(datagram)!;
					receiver.digests.apply(heard.digests, timeline.now());
					if (heard.stamp.version > receiver.version) {
						timeline.schedule(timeline.now() + fetchMs, () => {
							accept(receiver, heard.stamp.version);
						});
					}

					perform(
						receiver,
						receiver.membership.handle(
							{kind: 'message', message: heard.message},
							timeline.now(),
						),
					);
				},
			);
		}
	};

	// Each worker is read by two nodes; demand and requests in flight are stated by each node.
	const state = (index: number, node: ModelNode) => {
		const now = timeline.now();
		const zone = zoneOf(index);
		const perNode = Math.ceil(
			(2 * workersPerZone) / Math.min(members, nodesPerZone),
		);
		const reports = Array.from({length: perNode}, (_, worker) => ({
			backendServer: `${zone}-worker-${(index * perNode + worker) % workersPerZone}`,
			running: index % 9,
			queued: 0,
			slots: 8,
			incarnation: '0a1b2c3d',
		}));
		node.digests.put(
			{kind: 'loads', node: selves[index]!.id, reports},
			'availability-zone',
			now,
		);
		const countsOf = Object.fromEntries(
			Array.from({length: 8}, (_, worker) => [
				`${zone}-worker-${worker * 5}`,
				2,
			]),
		);
		node.digests.put(
			{kind: 'in-flight', node: selves[index]!.id, counts: countsOf},
			'availability-zone',
			now,
		);
		if (!node.isDead) {
			timeline.schedule(now + 500, () => {
				state(index, node);
			});
		}
	};

	const tick = (node: ModelNode) => {
		if (node.isDead) {
			return;
		}

		perform(node, node.membership.handle({kind: 'tick'}, timeline.now()));
		timeline.schedule(timeline.now() + tickMs, () => {
			tick(node);
		});
	};

	for (const [index, node] of nodes.values().toArray().entries()) {
		node.membership.handle({kind: 'state', members: selves}, 0);
		timeline.schedule(index % tickMs, () => {
			tick(node);
			state(index, node);
		});
	}

	timeline.run(5000);
	isCounting = true;
	const before = process.cpuUsage();
	timeline.run(5000 + seconds * 1000);
	const {user, system} = process.cpuUsage(before);
	isCounting = false;

	const ages = nodes
		.values()
		.flatMap(({digests}) => loadAges(digests, timeline.now()))
		.toArray()
		.toSorted((left, right) => left - right);

	const publishedAt = timeline.now();
	accept(nodes.get('node-0')!, 2);
	timeline.run(publishedAt + 10_000);
	const spread = nodes.values().every(({version}) => version === 2)
		? inForceAt - publishedAt
		: Infinity;

	const diedAt = timeline.now();
	const dead = nodes.get('node-1')!;
	dead.isDead = true;
	const viewers = nodes
		.values()
		.filter((node) => node !== dead)
		.toArray();
	const near = viewers.filter(
		({membership}) =>
			membership.self().availabilityZone ===
			dead.membership.self().availabilityZone,
	);
	const knownShare = (group: readonly ModelNode[]) =>
		group.filter(({membership}) => membership.find('node-1')?.status === 'dead')
			.length / group.length;
	const secondsUntil = (isReached: () => boolean) => {
		while (!isReached() && timeline.now() < diedAt + longestWatchMs) {
			timeline.run(timeline.now() + tickMs);
		}

		return (timeline.now() - diedAt) / 1000;
	};

	const knownInZone = secondsUntil(() => knownShare(near) === 1);
	const knownTo99Percent = secondsUntil(() => knownShare(viewers) >= 0.99);
	const knownToAll = secondsUntil(() => knownShare(viewers) === 1);

	return {
		benchmark: 'membership',
		members,
		messagesPerSecond: counts.messages / members / seconds,
		bytesPerSecond: counts.bytes / members / seconds,
		// Sending and receiving of one node, as a share of one core; the model's own work is in it.
		corePercent: (100 * (user + system)) / 1_000_000 / members / seconds,
		loadAgeMedianSeconds: ages[Math.floor(ages.length / 2)]!,
		loadAgeP95Seconds: ages[Math.floor(ages.length * 0.95)]!,
		configurationInForceSeconds: spread / 1000,
		deadKnownInZoneSeconds: knownInZone,
		deadKnownTo99PercentSeconds: knownTo99Percent,
		deadKnownToAllSeconds: knownToAll,
	};
};

/**
Measures heartbeats at several sizes of the fleet.
*/
export const measureMembership = (): readonly Row[] => {
	const rows = [3, 9, 27, 81, 378].map((members) => measure(members));
	printTable(rows);
	return rows;
};
