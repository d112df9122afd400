import type {TestContext} from 'node:test';
import {
	createOriginSharing,
	type OriginSharing,
} from '../../src/gateway/sharing/origin-sharing.ts';
import {silentLogger} from '../../src/logging/index.ts';
import type {KnownServer} from '../../src/registry/index.ts';
import type {Random} from '../../src/shared/index.ts';
import type {Continuation} from '../../src/stream-origins/index.ts';
import {memberOf} from '../fixtures.ts';
import {exchangeOf, knownServerOf, routeOf} from '../gateway/fixtures.ts';

/**
One step of a play.
*/
export type RolloutStep =
	| {readonly kind: 'begin'; readonly node: number}
	| {readonly kind: 'take-up'; readonly node: number}
	/**
	A server is replaced by one with another id and this version.
	*/
	| {
			readonly kind: 'replace';
			readonly server: number;
			readonly version: string;
	  }
	| {readonly kind: 'restart'; readonly node: number}
	/**
	The nodes of a zone receive no messages from other zones, or receive them again.
	*/
	| {readonly kind: 'cut' | 'heal'; readonly zone: number}
	/**
	A node no longer reads the registry, or reads it again.
	*/
	| {readonly kind: 'isolate' | 'rejoin'; readonly node: number}
	| {readonly kind: 'pass'; readonly ms: number};

/**
A stream that was taken up.
*/
export type TakenUp = {
	readonly kind: Continuation['kind'];
	/**
	Whether it may be continued by a server of another version than the one that began it.
	*/
	readonly isJoined: boolean;
	/**
	Whether the version that began it was registered only after the node had last read the registry.
	*/
	readonly isBeyondCopy: boolean;
};

const zones = ['a1', 'a2', 'b1', 'c1'];
const nodesPerZone = 2;
const serverCount = 4;
const syncMs = 500;
const stepMs = 5;
const searchMs = 400;

type Server = {
	readonly id: string;
	readonly version: string;
	readonly registeredAt: number;
};

type Node = {
	sharing: OriginSharing;
	copy: readonly Server[];
	syncedAt: number;
	isIsolated: boolean;
};

type Stream = {
	readonly requestId: string;
	readonly server: Server;
	readonly at: number;
};

const route = routeOf({kind: 'streaming', isResumable: true, timeoutMs: 4000});
const callerWaitsMs = 4000;

export const zoneCount = zones.length;
export const nodeCount = zones.length * nodesPerZone;

/**
Plays steps on nodes with their own copies of the registry. The oldest stream that is still wanted is taken up.
*/
export const playRollout = (
	t: TestContext,
	steps: readonly RolloutStep[],
	random: Random,
	loss: number,
): readonly TakenUp[] => {
	t.mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	let drawn = 0;
	let streams: readonly Stream[] = [];
	const takenUp: TakenUp[] = [];
	const cutZones = new Set<string>();
	const members = Array.from({length: nodeCount}, (_, index) =>
		memberOf(`node-${index}`, zones[index % zones.length]!),
	);
	const servers: Server[] = Array.from({length: serverCount}, (_, index) => ({
		id: `server-${index}`,
		version: 'v1',
		registeredAt: 0,
	}));
	const nodes: Node[] = [];

	const isBlocked = (from: string, to: string) =>
		from !== to && (cutZones.has(from) || cutZones.has(to));

	const start = (index: number): Node => {
		const self = members[index]!;
		const others = members.filter((member) => member !== self);
		const node: Node = {
			copy: [],
			syncedAt: -Infinity,
			isIsolated: nodes[index]?.isIsolated ?? false,
			sharing: createOriginSharing({
				askVersions: async () => undefined,
				longestLifeMs: () => 0,
				random,
				logger: silentLogger,
				mesh: {
					self: () => self,
					usable: () => others,
					others: () => others,
					send(recipients, message) {
						for (const {id, availabilityZone} of recipients) {
							const isLost =
								isBlocked(self.availabilityZone, availabilityZone) ||
								random.fraction() < loss;
							const receiver = members.findIndex((each) => each.id === id);
							if (!isLost && message.kind.startsWith('stream-origin')) {
								setTimeout(() => {
									nodes[receiver]!.sharing.receive(message as never);
								}, stepMs);
							}
						}
					},
				},
				regionOf: (zone) => zone.slice(0, 1),
				mirror: {
					servers: () =>
						new Map<string, KnownServer>(
							node.copy.map(({id, version}) => {
								const known = knownServerOf(id, 1);
								return [
									id,
									{
										...known,
										server: {...known.server, softwareVersion: version},
									},
								];
							}),
						),
				},
				copyAgeMs: () => now - node.syncedAt,
				without: new Set(),
				clock: () => now,
			}),
		};
		return node;
	};

	const sync = () => {
		for (const node of nodes) {
			if (!node.isIsolated) {
				node.copy = [...servers];
				node.syncedAt = now;
				node.sharing.refresh();
			}

			node.sharing.tick(now);
		}
	};

	const pass = (ms: number) => {
		for (let passed = 0; passed < ms; passed += stepMs) {
			now += stepMs;
			t.mock.timers.tick(stepMs);
			if (now % syncMs === 0) {
				sync();
			}
		}
	};

	const usableAt = ({copy}: Node): readonly Server[] =>
		copy.filter((server) => servers.includes(server));

	const begin = (index: number) => {
		const node = nodes[index]!;
		const candidates = usableAt(node);
		if (candidates.length === 0) {
			return;
		}

		drawn += 1;
		const requestId = `request-${drawn}`;
		const server = candidates[random.below(candidates.length)]!;
		node.sharing.record(exchangeOf({requestId, route}), {
			service: 'engine',
			softwareVersion: server.version,
		});
		streams = [...streams, {requestId, server, at: now}];
	};

	const takeUp = (index: number) => {
		streams = streams.filter(({at}) => now - at < callerWaitsMs);
		const [stream, ...rest] = streams;
		streams = rest;
		if (!stream) {
			return;
		}

		drawn += 1;
		const {version, registeredAt} = stream.server;
		const node = nodes[index]!;
		// What holds at the moment of the decision, because the request is sent then.
		const judge = (continuation: Continuation): TakenUp => {
			const versions =
				continuation.kind === 'bound'
					? [continuation.origin.softwareVersion]
					: usableAt(node).map((server) => server.version);
			return {
				kind: continuation.kind,
				isJoined:
					continuation.kind !== 'impossible' &&
					versions.some((each) => each !== version),
				isBeyondCopy: registeredAt > node.syncedAt,
			};
		};

		const results: TakenUp[] = [];
		node.sharing.find(
			exchangeOf({
				requestId: `request-${drawn}`,
				continuedRequestId: stream.requestId,
				lastEventId: '2',
				route,
				receivedAt: now,
				expiresAt: now + callerWaitsMs,
			}),
			(continuation) => {
				results.push(judge(continuation));
			},
		);
		for (let waited = 0; results.length === 0 && waited < searchMs;) {
			pass(stepMs);
			waited += stepMs;
		}

		takenUp.push(...results);
	};

	for (let index = 0; index < nodeCount; index += 1) {
		nodes.push(start(index));
	}

	sync();
	pass(callerWaitsMs * 3);
	for (const step of steps) {
		switch (step.kind) {
			case 'begin': {
				begin(step.node);
				break;
			}

			case 'take-up': {
				takeUp(step.node);
				break;
			}

			case 'replace': {
				drawn += 1;
				servers[step.server % serverCount] = {
					id: `server-new-${drawn}`,
					version: step.version,
					registeredAt: now,
				};
				break;
			}

			case 'restart': {
				nodes[step.node] = start(step.node);
				break;
			}

			case 'cut': {
				cutZones.add(zones[step.zone]!);
				break;
			}

			case 'heal': {
				cutZones.delete(zones[step.zone]!);
				break;
			}

			case 'isolate':
			case 'rejoin': {
				nodes[step.node]!.isIsolated = step.kind === 'isolate';
				break;
			}

			case 'pass': {
				pass(step.ms);
			}
		}
	}

	t.mock.timers.reset();
	return takenUp;
};
