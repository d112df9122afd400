// Writes the JSON Schema of the configuration to docs/. Editors can validate documents against it.
import {writeFileSync} from 'node:fs';
import {z} from 'zod';
import {configurationSchema} from '../src/configuration/index.ts';

const schema = z.toJSONSchema(configurationSchema, {
	io: 'input',
	unrepresentable: 'any',
});
writeFileSync(
	'docs/configuration.schema.json',
	`${JSON.stringify(schema, undefined, '\t')}\n`,
);
