// Writes the configuration's JSON Schema to docs/, from which editors can check documents.
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
