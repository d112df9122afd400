/**
Model-based test of registry restores: random writes, restores from older copies and faults, and a checker of the state
that the nodes must not lose.
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
The parameters of a run.
*/
export type ModelOptions = {
	readonly seed: number;
	readonly hasEras: boolean;
	readonly lengthMs: number;
	/**
	Called at each step; may inject a fault that the checker must detect.
	*/
	readonly injectFault?: (simulation: RegistrySimulation) => void;
	readonly createMirror?: RegistrySimulationOptions['createMirror'];
};

/**
The state that the operator and the servers want the registry to hold.
*/
type DesiredState = {
	version: number;
	readonly servers: Map<string, {isLeaving: boolean; sequence: number}>;
	/**
	When the evacuation of each zone began.
	*/
	readonly evacuated: Map<string, number>;
};

type Expectation = {
	readonly at: number;
	readonly name: string;
	readonly check: (node: RegistrySimulation['nodes'][number]) => boolean;
	/**
	Time after a restore in which the expectation does not apply, in milliseconds.
	*/
	readonly exemptMs: number;
};

/**
Time within which all nodes must apply a change of the registry, in milliseconds.
*/
export const applyMs = 3000;

const zones = 3;
const nodeCount = 9;
const lapseMs = 3600;

/**
Runs random writes, restores and faults.

@returns The violations; empty if there were none.
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
	const simulation = createRegistrySimulation(t, {
		zones,
		nodes: nodeCount,
		hasEras,
		seed,
		...(createMirror && {createMirror}),
	});
	const random = createRandom(seed);
	const desired: DesiredState = {
		version: 0,
		servers: new Map(),
		evacuated: new Map(),
	};
	const violations = new Set<string>();
	const checks = createChecker(simulation, desired, violations);
	const checker = {
		...checks,
		step() {
			injectFault(simulation);
			checks.step();
		},
	};
	const writer = createWriter(simulation, desired, checker);
	writer.routes();
	for (const id of ['s1', 's2', 's3']) {
		writer.server(id);
	}

	await simulation.advance(4000);
	const disturbances = createDisturbances(simulation, random, checker);
	const copies = [simulation.registry.revision()];
	let lapseAt = Infinity;
	const lapse = () => {
		if (!(simulation.now() >= lapseAt)) {
			return;
		}

		lapseAt = Infinity;
		writer.lapse();
	};

	while (simulation.now() < lengthMs) {
		lapse();
		const draw = random.below(12);
		if (draw === 0) {
			await disturbances.restore(copies.at(-1 - random.below(2)) ?? copies[0]!);
			copies.splice(0, copies.length, simulation.registry.revision());
			lapseAt = simulation.now() + lapseMs;
			await simulation.advance(random.below(600), checker.step);
			writer.all();
		} else if (draw === 1) {
			copies.push(simulation.registry.revision());
		} else if (draw < 5) {
			disturbances.draw();
		} else {
			writer.draw(random);
		}

		await simulation.advance(50 + random.below(700), checker.step);
	}

	disturbances.end();
	await simulation.advance(lapseMs, checker.step);
	lapse();
	await simulation.advance(evacuationRetentionMs, checker.step);
	writer.routes();
	await simulation.advance(applyMs, checker.step);
	checker.checkAgreement();
	await simulation.stop();
	return [...violations];
};

const createWriter = (
	{registry, now}: RegistrySimulation,
	desired: DesiredState,
	checker: Checker,
) => {
	let lastId = 3;

	const putRoutes = () => {
		const {version} = desired;
		registry.write('routes', {kind: 'routes', document: documentOf({version})});
		checker.expect(
			`routes ${version}`,
			({mirror}) => (mirror.routes()?.document.version ?? 0) >= version,
		);
	};

	const putServer = (id: string) => {
		const server = desired.servers.get(id)!;
		server.sequence += 1;
		registry.write(`servers/${id}`, {
			kind: 'server',
			server: registeredServerOf(id, {...server}),
		});
		if (server.isLeaving) {
			checker.expect(
				`shutdown of ${id}`,
				({mirror}) => mirror.servers().get(id)?.server.isLeaving !== false,
			);
		}
	};

	const putEvacuation = (zone: string) => {
		const since = desired.evacuated.get(zone);
		const isActive = since !== undefined;
		registry.write(
			`evacuate ${zone}`,
			isActive ? {kind: 'evacuation', availabilityZone: zone} : undefined,
		);
		// A node cannot distinguish an evacuation that the copy lacks from one that the operator removed.
		checker.expect(
			`evacuation of ${zone} ${isActive}`,
			({mirror}) =>
				desired.evacuated.get(zone) !== since ||
				mirror.isEvacuated(zone) === isActive,
			isActive ? 0 : evacuationRetentionMs,
		);
	};

	const idAt = (random: Random): string | undefined =>
		[...desired.servers.keys()][
			random.below(Math.max(1, desired.servers.size))
		];

	const server = (id: string) => {
		desired.servers.set(id, {isLeaving: false, sequence: 0});
		putServer(id);
	};

	const routes = () => {
		desired.version += 1;
		putRoutes();
	};

	return {
		routes,
		server,
		// Writes the lost state again.
		all() {
			putRoutes();
			for (const id of desired.servers.keys()) {
				putServer(id);
			}

			for (const zone of ['zone-a', 'zone-b']) {
				putEvacuation(zone);
			}
		},
		// Removes the entries of dead servers, whose leases lapse after some missed heartbeats.
		lapse() {
			for (let index = 1; index <= lastId; index += 1) {
				const id = `s${index}`;
				if (!desired.servers.has(id)) {
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
						desired.servers.get(id)!.isLeaving = true;
						putServer(id);
					}

					return;
				}

				case 2: {
					if (id !== undefined && desired.servers.get(id)!.isLeaving) {
						desired.servers.delete(id);
						registry.write(`servers/${id}`, undefined);
					}

					return;
				}

				case 3: {
					const zone = random.below(2) === 0 ? 'zone-a' : 'zone-b';
					if (!desired.evacuated.delete(zone)) {
						desired.evacuated.set(zone, now());
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
	simulation: RegistrySimulation,
	desired: DesiredState,
	violations: Set<string>,
) => {
	const expectations: Expectation[] = [];
	const disturbedAt = simulation.nodes.map(() => -Infinity);
	const versions = new Map<object, number>();
	const leaving = new Map<object, Set<string>>();
	const evacuated = new Map<object, Set<string>>();
	let restoredAt = -Infinity;

	const report = (index: number, what: string) => {
		violations.add(`node ${index} at ${simulation.now()}: ${what}`);
	};

	const isDisturbed = (index: number) => {
		const node = simulation.nodes[index]!;
		return (
			disturbedAt[index]! + applyMs > simulation.now() ||
			node.isFrozen ||
			node.isCutFromNodes ||
			node.isCutFromRegistry
		);
	};

	const checkRetained = (index: number) => {
		const {mirror} = simulation.nodes[index]!;
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
		for (const zone of new Set([...desired.evacuated.keys(), ...zonesKnown])) {
			const since = desired.evacuated.get(zone) ?? Infinity;
			// The node may not know yet that an earlier evacuation of the zone ended before this one began.
			if (simulation.now() < since + applyMs || isDisturbed(index)) {
				zonesKnown.delete(zone);
			} else if (mirror.isEvacuated(zone)) {
				zonesKnown.add(zone);
			} else if (zonesKnown.has(zone)) {
				report(index, `${zone} is used during its evacuation`);
			}
		}
	};

	const checkExpectations = () => {
		const due = expectations.filter(({at}) => at + applyMs <= simulation.now());
		expectations.splice(0, due.length);
		for (const {at, name, check, exemptMs} of due) {
			for (const [index, node] of simulation.nodes.entries()) {
				const isExempt =
					restoredAt + exemptMs > at ||
					disturbedAt[index]! > at - applyMs ||
					isDisturbed(index);
				if (!isExempt && !check(node)) {
					report(index, `${name}, written at ${at}`);
				}
			}
		}
	};

	return {
		expect(name: string, check: Expectation['check'], exemptMs = 0) {
			expectations.push({at: simulation.now(), name, check, exemptMs});
		},
		disturbed(index: number) {
			disturbedAt[index] = simulation.now();
		},
		restored() {
			restoredAt = simulation.now();
		},
		step() {
			for (const index of simulation.nodes.keys()) {
				checkRetained(index);
			}

			checkExpectations();
		},
		checkAgreement() {
			const servers = [...desired.servers]
				.filter(([, {isLeaving}]) => !isLeaving)
				.map(([id]) => id);
			const expected = `${desired.version}; ${servers.toSorted().join(' ')}; ${[...desired.evacuated.keys()].toSorted().join(' ')}`;
			for (const [index, {mirror}] of simulation.nodes.entries()) {
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
