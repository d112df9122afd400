import {test, type TestContext} from 'node:test';
import type {RegistrySimulation} from './registry-simulation.ts';
import {runRestoreModel} from './restored-registry-model.ts';

const lengthMs = 25_000;

// The later ones once showed a fault.
const seeds = [1, 2, 3, 4, 5, 6, 15, 34, 136, 220, 268, 293];

for (const hasEras of [true, false]) {
	for (const seed of seeds) {
		test(`nothing safe goes back when a registry ${hasEras ? 'with' : 'without'} eras comes back from copies at random, seed ${seed}`, async (t: TestContext) => {
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
	'a node that takes the copy for later than all it knows'({
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
	test(`the check of the model finds ${name}`, async (t: TestContext) => {
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
