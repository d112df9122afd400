/**
A registry that comes back from older copies of itself, what is written to it, and what its nodes must not forget.
*/
import type {TestContext} from 'node:test';
import {evacuationRetentionMs} from '../../src/registry/index.ts';
import {createRandom, type Random} from '../../src/shared/index.ts';
import {documentOf} from '../gateway/fixtures.ts';
import {registeredServerOf} from './fixtures.ts';
import {
	createRegistrySimulation,
	type RegistrySimulation,
	type RegistrySimulationOptions,
} from './registry-simulation.ts';

/**
What a play is made from.
*/
export type ModelOptions = {
	readonly seed: number;
	readonly hasEras: boolean;
	readonly lengthMs: number;
	/**
	Called at each step; may do what the check must find.
	*/
	readonly injectFault?: (scene: RegistrySimulation) => void;
	readonly createMirror?: RegistrySimulationOptions['createMirror'];
};

/**
What the operator and the servers want to be in the registry.
*/
type Truth = {
	version: number;
	readonly servers: Map<string, {isLeaving: boolean; sequence: number}>;
	/**
	When the evacuation of each zone began.
	*/
	readonly evacuated: Map<string, number>;
};

type Obligation = {
	readonly at: number;
	readonly name: string;
	readonly meets: (node: RegistrySimulation['nodes'][number]) => boolean;
	/**
	Time after a return from a copy in which it does not bind, in milliseconds.
	*/
	readonly excusedMs: number;
};

/**
A change binds all nodes this long after the registry has it, in milliseconds.
*/
export const applyMs = 3000;

const zones = 3;
const nodeCount = 9;
const lapseMs = 3600;

/**
Plays random writes, returns and disturbances.

@returns What was broken; empty where nothing was.
*/
export const runRestoreModel = async (
	t: Pick<TestContext, 'mock'>,
	{
		seed,
		hasEras,
		lengthMs,
		injectFault = () => undefined,
		createMirror,
	}: ModelOptions,
): Promise<readonly string[]> => {
	const scene = createRegistrySimulation(t, {
		zones,
		nodes: nodeCount,
		hasEras,
		seed,
		...(createMirror && {createMirror}),
	});
	const random = createRandom(seed);
	const truth: Truth = {version: 0, servers: new Map(), evacuated: new Map()};
	const broken = new Set<string>();
	const checks = createChecker(scene, truth, broken);
	const checker = {
		...checks,
		step() {
			injectFault(scene);
			checks.step();
		},
	};
	const writer = createWriter(scene, truth, checker);
	writer.routes();
	for (const id of ['s1', 's2', 's3']) {
		writer.server(id);
	}

	await scene.advance(4000);
	const disturbances = createDisturbances(scene, random, checker);
	const copies = [scene.registry.revision()];
	let lapseAt = Infinity;
	const lapse = () => {
		if (!(scene.now() >= lapseAt)) {
			return;
		}

		lapseAt = Infinity;
		writer.lapse();
	};

	while (scene.now() < lengthMs) {
		lapse();
		const draw = random.below(12);
		if (draw === 0) {
			await disturbances.restore(copies.at(-1 - random.below(2)) ?? copies[0]!);
			copies.splice(0, copies.length, scene.registry.revision());
			lapseAt = scene.now() + lapseMs;
			await scene.advance(random.below(600), checker.step);
			writer.all();
		} else if (draw === 1) {
			copies.push(scene.registry.revision());
		} else if (draw < 5) {
			disturbances.draw();
		} else {
			writer.draw(random);
		}

		await scene.advance(50 + random.below(700), checker.step);
	}

	disturbances.end();
	await scene.advance(lapseMs, checker.step);
	lapse();
	await scene.advance(evacuationRetentionMs, checker.step);
	writer.routes();
	await scene.advance(applyMs, checker.step);
	checker.checkAgreement();
	await scene.stop();
	return [...broken];
};

const createWriter = (
	{registry, now}: RegistrySimulation,
	truth: Truth,
	checker: Checker,
) => {
	let lastId = 3;

	const putRoutes = () => {
		const {version} = truth;
		registry.write('routes', {kind: 'routes', document: documentOf({version})});
		checker.oblige(
			`routes ${version}`,
			({mirror}) => (mirror.routes()?.document.version ?? 0) >= version,
		);
	};

	const putServer = (id: string) => {
		const server = truth.servers.get(id)!;
		server.sequence += 1;
		registry.write(`servers/${id}`, {
			kind: 'server',
			server: registeredServerOf(id, {...server}),
		});
		if (server.isLeaving) {
			checker.oblige(
				`shutdown of ${id}`,
				({mirror}) => mirror.servers().get(id)?.server.isLeaving !== false,
			);
		}
	};

	const putEvacuation = (zone: string) => {
		const since = truth.evacuated.get(zone);
		const isActive = since !== undefined;
		registry.write(
			`evacuate ${zone}`,
			isActive ? {kind: 'evacuation', availabilityZone: zone} : undefined,
		);
		// An evacuation that the copy lacks cannot be told from one that is not wanted any more.
		checker.oblige(
			`evacuation of ${zone} ${isActive}`,
			({mirror}) =>
				truth.evacuated.get(zone) !== since ||
				mirror.isEvacuated(zone) === isActive,
			isActive ? 0 : evacuationRetentionMs,
		);
	};

	const idAt = (random: Random): string | undefined =>
		[...truth.servers.keys()][random.below(Math.max(1, truth.servers.size))];

	const server = (id: string) => {
		truth.servers.set(id, {isLeaving: false, sequence: 0});
		putServer(id);
	};

	const routes = () => {
		truth.version += 1;
		putRoutes();
	};

	return {
		routes,
		server,
		// What was lost is written again.
		all() {
			putRoutes();
			for (const id of truth.servers.keys()) {
				putServer(id);
			}

			for (const zone of ['zone-a', 'zone-b']) {
				putEvacuation(zone);
			}
		},
		// The entries of servers that do not live end after some heartbeats of silence.
		lapse() {
			for (let index = 1; index <= lastId; index += 1) {
				const id = `s${index}`;
				if (!truth.servers.has(id)) {
					registry.write(`servers/${id}`, undefined);
				}
			}
		},
		draw(random: Random) {
			const id = idAt(random);
			switch (random.below(5)) {
				case 0: {
					lastId += 1;
					server(`s${lastId}`);
					return;
				}

				case 1: {
					if (id !== undefined) {
						truth.servers.get(id)!.isLeaving = true;
						putServer(id);
					}

					return;
				}

				case 2: {
					if (id !== undefined && truth.servers.get(id)!.isLeaving) {
						truth.servers.delete(id);
						registry.write(`servers/${id}`, undefined);
					}

					return;
				}

				case 3: {
					const zone = random.below(2) === 0 ? 'zone-a' : 'zone-b';
					if (!truth.evacuated.delete(zone)) {
						truth.evacuated.set(zone, now());
					}

					putEvacuation(zone);
					return;
				}

				default: {
					routes();
				}
			}
		},
	};
};

type Checker = ReturnType<typeof createChecker>;

const createChecker = (
	scene: RegistrySimulation,
	truth: Truth,
	broken: Set<string>,
) => {
	const obligations: Obligation[] = [];
	const disturbedAt = scene.nodes.map(() => -Infinity);
	const versions = new Map<object, number>();
	const leaving = new Map<object, Set<string>>();
	const evacuated = new Map<object, Set<string>>();
	let restoredAt = -Infinity;

	const report = (index: number, what: string) => {
		broken.add(`node ${index} at ${scene.now()}: ${what}`);
	};

	const isDisturbed = (index: number) => {
		const node = scene.nodes[index]!;
		return (
			disturbedAt[index]! + applyMs > scene.now() ||
			node.isFrozen ||
			node.isCutFromNodes ||
			node.isCutFromRegistry
		);
	};

	const checkKept = (index: number) => {
		const {mirror} = scene.nodes[index]!;
		const version = mirror.routes()?.document.version ?? 0;
		if (version < (versions.get(mirror) ?? 0)) {
			report(index, `routes went back to ${version}`);
		}

		versions.set(mirror, version);
		const left = leaving.get(mirror) ?? new Set();
		leaving.set(mirror, left);
		for (const [id, {server}] of mirror.servers()) {
			if (server.isLeaving) {
				left.add(id);
			} else if (left.has(id)) {
				report(index, `${id} is used again`);
			}
		}

		const zonesKnown = evacuated.get(mirror) ?? new Set();
		evacuated.set(mirror, zonesKnown);
		for (const zone of new Set([...truth.evacuated.keys(), ...zonesKnown])) {
			const since = truth.evacuated.get(zone) ?? Infinity;
			// The node may still hear of an end before this beginning.
			if (scene.now() < since + applyMs || isDisturbed(index)) {
				zonesKnown.delete(zone);
			} else if (mirror.isEvacuated(zone)) {
				zonesKnown.add(zone);
			} else if (zonesKnown.has(zone)) {
				report(index, `${zone} is used during its evacuation`);
			}
		}
	};

	const checkObligations = () => {
		const due = obligations.filter(({at}) => at + applyMs <= scene.now());
		obligations.splice(0, due.length);
		for (const {at, name, meets, excusedMs} of due) {
			for (const [index, node] of scene.nodes.entries()) {
				const isExcused =
					restoredAt + excusedMs > at ||
					disturbedAt[index]! > at - applyMs ||
					isDisturbed(index);
				if (!isExcused && !meets(node)) {
					report(index, `${name}, written at ${at}`);
				}
			}
		}
	};

	return {
		oblige(name: string, meets: Obligation['meets'], excusedMs = 0) {
			obligations.push({at: scene.now(), name, meets, excusedMs});
		},
		disturbed(index: number) {
			disturbedAt[index] = scene.now();
		},
		restored() {
			restoredAt = scene.now();
		},
		step() {
			for (const index of scene.nodes.keys()) {
				checkKept(index);
			}

			checkObligations();
		},
		checkAgreement() {
			const servers = [...truth.servers]
				.filter(([, {isLeaving}]) => !isLeaving)
				.map(([id]) => id);
			const expected = `${truth.version}; ${servers.toSorted().join(' ')}; ${[...truth.evacuated.keys()].toSorted().join(' ')}`;
			for (const [index, {mirror}] of scene.nodes.entries()) {
				const used = [...mirror.servers()]
					.filter(([, {server}]) => !server.isLeaving)
					.map(([id]) => id);
				const seen = `${mirror.routes()?.document.version}; ${used.toSorted().join(' ')}; ${[...mirror.evacuatedZones()].toSorted().join(' ')}`;
				if (seen !== expected) {
					report(index, `ends with "${seen}", not "${expected}"`);
				}
			}
		},
	};
};

const createDisturbances = (
	{registry, nodes, advance, restart}: RegistrySimulation,
	random: Random,
	checker: Checker,
) => {
	const undo = (index: number) => {
		const node = nodes[index]!;
		node.isFrozen = false;
		node.isCutFromNodes = false;
		node.isCutFromRegistry = false;
		checker.disturbed(index);
	};

	return {
		draw() {
			const index = random.below(nodes.length);
			const node = nodes[index]!;
			checker.disturbed(index);
			if (node.isFrozen || node.isCutFromNodes || node.isCutFromRegistry) {
				undo(index);
				return;
			}

			switch (random.below(4)) {
				case 0: {
					node.isFrozen = true;
					return;
				}

				case 1: {
					node.isCutFromNodes = true;
					return;
				}

				case 2: {
					node.isCutFromRegistry = true;
					return;
				}

				default: {
					restart(index);
				}
			}
		},
		async restore(revision: number) {
			registry.setUp(false);
			checker.restored();
			await advance(100 + random.below(2500), checker.step);
			registry.restore(revision);
			registry.setUp(true);
			checker.restored();
		},
		end() {
			for (const index of nodes.keys()) {
				undo(index);
			}
		},
	};
};
