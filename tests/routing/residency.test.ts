import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {guardResidency, resolveResidency} from '../../src/routing/index.ts';
import {exampleConfiguration} from '../fixtures.ts';

const configuration = exampleConfiguration();
const regionNames = configuration.regions.map(({name}) => name);

test('a request can narrow the regions that its client allows, but not extend them', () => {
	const client = {
		name: 'c',
		residency: ['abuja', 'ibadan'],
		residencyRequired: false,
	};
	assert.ok(
		guardResidency({requested: ['abuja'], client}, 'abuja', configuration).isOk,
	);
	assert.ok(
		guardResidency({requested: ['abuja'], client}, 'ibadan', configuration)
			.isErr,
	);
	assert.ok(
		resolveResidency({requested: ['port-harcourt'], client}, configuration)
			.isErr,
	);
});

test('a request without a residency is refused if its client requires one', () => {
	const client = {name: 'c', residency: undefined, residencyRequired: true};
	assert.ok(
		resolveResidency({requested: undefined, client}, configuration).isErr,
	);
	assert.ok(
		resolveResidency({requested: ['abuja'], client}, configuration).isOk,
	);
});

test('for any claim, the guard allows only regions that both request and client allow', () => {
	const names = fc.constantFrom(...regionNames, 'unknown', '');
	const list = fc.option(fc.array(names, {maxLength: 4}), {nil: undefined});
	fc.assert(
		fc.property(
			list,
			list,
			fc.boolean(),
			fc.constantFrom(...regionNames),
			(requested, residency, residencyRequired, region) => {
				const client = {name: 'c', residency, residencyRequired};
				const isCleared = guardResidency(
					{requested, client},
					region,
					configuration,
				).isOk;
				if (!isCleared) {
					return;
				}

				assert.ok(requested?.includes(region) ?? !residencyRequired);
				assert.ok(residency?.includes(region) ?? true);
				assert.ok(
					requested?.every((name) => regionNames.includes(name)) ?? true,
				);
			},
		),
		{numRuns: 3000},
	);
});
