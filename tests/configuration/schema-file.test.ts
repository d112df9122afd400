import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {z} from 'zod';
import {configurationSchema} from '../../src/configuration/index.ts';

test('the committed JSON Schema matches the code; regenerate it with "npm run schema"', () => {
	const committed = readFileSync('docs/configuration.schema.json', 'utf8');
	const schema = z.toJSONSchema(configurationSchema, {
		io: 'input',
		unrepresentable: 'any',
	});
	assert.equal(JSON.stringify(JSON.parse(committed)), JSON.stringify(schema));
});
