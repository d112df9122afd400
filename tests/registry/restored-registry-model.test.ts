import {test, type TestContext} from 'node:test';
import type {RegistrySimulation} from './registry-simulation.ts';
import {runRestoreModel} from './restored-registry-model.ts';

const lengthMs = 25_000;

// The seeds from 15 on have exposed faults.
const seeds = [1, 2, 3, 4, 5, 6, 15, 34, 136, 220, 268, 293];

for (const hasEras of [true, false]) {
	for (const seed of seeds) {
		test(`random restores of a registry ${hasEras ? 'with' : 'without'} eras undo no routes, shutdown or evacuation, seed ${seed}`, async (t: TestContext) => {
			t.assert.deepStrictEqual(
				await runRestoreModel(t, {seed, hasEras, lengthMs}),
				[],
			);
		});
	}
}

const faults = {
	'an evacuation that ends too soon'({nodes}: RegistrySimulation) {
		for (const {mirror} of nodes) {
			mirror.expire(Infinity);
		}
	},
	'a node that considers an empty copy later than all it knows'({
		nodes,
		registry,
	}: RegistrySimulation) {
		const {mirror} = nodes[4]!;
		const {era} = mirror.position();
		mirror.apply(
			{
				kind: 'snapshot',
				era: era + 1,
				revision: registry.revision() + 1000,
				items: [],
			},
			0,
			'registry',
		);
	},
} as const;

for (const [name, injectFault] of Object.entries(faults)) {
	test(`the checker of the model detects ${name}`, async (t: TestContext) => {
		t.assert.notDeepStrictEqual(
			await runRestoreModel(t, {
				seed: 1,
				hasEras: true,
				lengthMs,
				injectFault,
			}),
			[],
		);
	});
}
