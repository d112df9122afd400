/**
Simulates nodes that follow one registry and each other, in simulated time.
*/
import type {TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {
	createRegistryFollower,
	createRegistryMirror,
	createRegistryRelay,
	decodeRegistryStamp,
	encodeRegistryStamp,
	type RegistryAnswer,
	type RegistryCursor,
	type RegistryFollower,
	type RegistryMirror,
	type RegistryRelay,
	type RegistrySource,
	type RelayedAnswer,
} from '../../src/registry/index.ts';
import {createRandom} from '../../src/shared/index.ts';
import {
	createStandInRegistry,
	type StandInRegistry,
} from '../../stand-ins/registry.ts';

/**
A simulated node.
*/
export type SimulatedNode = {
	readonly mirror: RegistryMirror;
	/**
	Whether the node cannot reach the registry or other nodes, or is frozen.
	*/
	isCutFromRegistry: boolean;
	isCutFromNodes: boolean;
	isFrozen: boolean;
};

/**
Nodes assigned to several zones in round-robin order. The first node of a zone reads the registry for the zone.
*/
export type RegistrySimulation = {
	readonly registry: StandInRegistry;
	readonly nodes: readonly SimulatedNode[];
	now(): number;
	/**
	Advances the simulated time.

	@param onStep Called after each step.
	*/
	advance(milliseconds: number, onStep?: () => void): Promise<void>;
	/**
	Replaces a node by one with an empty mirror.
	*/
	restart(index: number): void;
	stop(): Promise<void>;
};

/**
The size and the conditions of a simulation.
*/
export type RegistrySimulationOptions = {
	readonly zones: number;
	readonly nodes: number;
	readonly hasEras: boolean;
	readonly seed?: number;
	/**
	Nodes that run the previous version: their stamps and answers have no eras.
	*/
	readonly oldNodes?: readonly number[];
	/**
	Creates the registry mirror of each node.
	*/
	readonly createMirror?: () => RegistryMirror;
};

type RunningNode = SimulatedNode & {
	readonly follower: RegistryFollower;
	readonly relay: RegistryRelay;
	stampAt: number;
};

const stepMs = 10;
const stampIntervalMs = 400;
const peerTimeoutMs = 700;
const settledMs = 2500;
// Microtask turns per step, so that requests and answers complete within the step.
const turnsPerStep = 12;

const withoutEra = (answer: RegistryAnswer): RegistryAnswer => {
	if (answer.kind !== 'changes' && answer.kind !== 'snapshot') {
		return answer;
	}

	const {era, ...rest} = answer;
	return rest;
};

/**
Starts the nodes. The simulated time does not advance on its own.
*/
export const createRegistrySimulation = (
	{mock}: Pick<TestContext, 'mock'>,
	{
		zones,
		nodes: count,
		hasEras,
		seed = 1,
		oldNodes = [],
		createMirror = createRegistryMirror,
	}: RegistrySimulationOptions,
): RegistrySimulation => {
	mock.timers.enable({apis: ['setTimeout']});
	const random = createRandom(seed);
	const registry = createStandInRegistry({hasEras});
	const logger = createLogger('simulation');
	let now = 0;
	const wait = async (milliseconds: number) =>
		new Promise<void>((resolve) => {
			setTimeout(resolve, milliseconds);
		});

	// Blocks the calls of a frozen node until it is unfrozen.
	const untilUnfrozen = async (node: SimulatedNode) => {
		while (node.isFrozen) {
			await wait(stepMs);
		}
	};

	const sourceFor = (node: () => SimulatedNode): RegistrySource => {
		const source = registry.source();
		const guard = async (
			ask: () => Promise<RegistryAnswer>,
		): Promise<RegistryAnswer> => {
			const cut: RegistryAnswer = {kind: 'unavailable', reason: 'cut'};
			const answer = node().isCutFromRegistry ? cut : await ask();
			await untilUnfrozen(node());
			return node().isCutFromRegistry ? cut : answer;
		};

		return {
			snapshot: async () => guard(source.snapshot),
			changes: async (after, waitMs) =>
				guard(async () => source.changes(after, waitMs)),
			close: source.close,
		};
	};

	const addressOf = (index: number) => `10.0.0.${index}:1`;
	const indexOf = (address: string) =>
		Number(address.split('.').at(-1)!.split(':', 1)[0]);
	const isReachable = (index: number) =>
		!nodes[index]!.isFrozen && !nodes[index]!.isCutFromNodes;

	const call = async <Answer>(
		from: number,
		to: string,
		failed: Answer,
		ask: (peer: RunningNode, index: number) => Answer | Promise<Answer>,
	): Promise<Answer> => {
		const index = indexOf(to);
		if (!isReachable(index) || nodes[from]!.isCutFromNodes) {
			await wait(peerTimeoutMs);
			await untilUnfrozen(nodes[from]!);
			return failed;
		}

		const answer = await ask(nodes[index]!, index);
		await untilUnfrozen(nodes[from]!);
		return isReachable(index) ? answer : failed;
	};

	const relayOf = (index: number): string | undefined => {
		const first = Array.from({length: count}, (_, each) => each).find(
			(each) => each % zones === index % zones && isReachable(each),
		);
		return first === undefined ||
			first === index ||
			nodes[index]!.isCutFromNodes
			? undefined
			: addressOf(first);
	};

	const cursorFor = (index: number, after: RegistryCursor): RegistryCursor =>
		oldNodes.includes(index) ? {...after, era: undefined} : after;

	const startNode = (index: number): RunningNode => {
		const startedAt = now;
		const mirror = createMirror();
		const follower = createRegistryFollower({
			mirror,
			registry: sourceFor(() => node),
			askPeer: async (peer, after) =>
				call<RegistryAnswer>(
					index,
					peer,
					{kind: 'unavailable', reason: 'cut'},
					(other, each) => {
						const answer: RegistryAnswer =
							other.mirror.revision() === 0
								? {kind: 'unavailable', reason: 'nothing known yet'}
								: other.mirror.answerFor(cursorFor(each, after), now);
						return oldNodes.includes(each) ? withoutEra(answer) : answer;
					},
				),
			pickPeer: () => addressOf(otherThan(index)),
			relay: () => (now - startedAt < settledMs ? undefined : relayOf(index)),
			askRelay: async (address, after) =>
				call<RelayedAnswer | undefined>(
					index,
					address,
					undefined,
					async (other, each) => {
						const relayed = await other.relay.answer(cursorFor(each, after));
						return oldNodes.includes(each)
							? {...relayed, answer: withoutEra(relayed.answer)}
							: relayed;
					},
				),
			hasJustStarted: () => false,
			onRead() {
				relay.release();
			},
			clock: () => now,
			randomFraction: random.fraction,
			logger,
			onChanges: () => undefined,
			announceChanges: () => undefined,
		});
		const relay = createRegistryRelay({
			mirror,
			isReading: follower.isReading,
			confirmedAt: follower.confirmedAt,
			clock: () => now,
		});
		const node: RunningNode = {
			mirror,
			follower,
			relay,
			stampAt: now + random.below(stampIntervalMs),
			isCutFromRegistry: false,
			isCutFromNodes: false,
			isFrozen: false,
		};
		follower.start();
		return node;
	};

	const otherThan = (index: number): number => {
		const other = random.below(count - 1);
		return other < index ? other : other + 1;
	};

	const stampOf = (index: number) => {
		const encoded = encodeRegistryStamp(nodes[index]!.mirror.stamp());
		return decodeRegistryStamp(
			oldNodes.includes(index) ? {...encoded, digest: ''} : encoded,
		);
	};

	const tick = (node: RunningNode, index: number) => {
		if (node.isFrozen) {
			return;
		}

		node.follower.tick(now);
		if (now < node.stampAt) {
			return;
		}

		node.stampAt = now + stampIntervalMs;
		const to = otherThan(index);
		if (isReachable(to) && !node.isCutFromNodes) {
			nodes[to]!.follower.receiveStamp(stampOf(index), addressOf(index));
		}
	};

	const nodes: RunningNode[] = [];
	for (let index = 0; index < count; index += 1) {
		nodes.push(startNode(index));
	}

	return {
		registry,
		nodes,
		now: () => now,
		async advance(milliseconds, onStep = () => undefined) {
			const until = now + milliseconds;
			while (now < until) {
				now += stepMs;
				mock.timers.tick(stepMs);
				for (let turn = 0; turn < turnsPerStep; turn += 1) {
					await Promise.resolve();
				}

				for (const [index, node] of nodes.entries()) {
					tick(node, index);
				}

				onStep();
			}
		},
		restart(index) {
			void nodes[index]!.follower.stop();
			nodes[index] = startNode(index);
		},
		async stop() {
			await Promise.all(nodes.map(async ({follower}) => follower.stop()));
			mock.timers.reset();
		},
	};
};
