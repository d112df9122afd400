import assert from 'node:assert/strict';
import {globSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
	nodePaths,
	storeKeys,
	storePaths,
	wireHeaders,
} from '../../platform/wire-names.ts';

const sources = globSync('src/**/*.ts').map((path) => ({
	path,
	text: readFileSync(path, 'utf8').toLowerCase(),
}));

// Field names of the platform's bodies and settings that are not ordinary words.
const fieldNames = [
	'path_prefix',
	'target_latency_ms',
	'max_attempts',
	'home_regions',
	'cold_left_ms',
	'cold_per_s',
	'health_path',
	'max_conns',
	'internal_ports',
	'node_name',
	'as_of',
	'wait_ms',
	'ttl_s',
	'quillford_config',
];

// The product's own interface had this header before the platform was known; it keeps it.
const ownNames = new Set([
	'src/requests/incoming-request.ts x-quillford-deadline-ms',
	'src/requests/parse-request.ts x-quillford-deadline-ms',
]);

// A name that is also an ordinary word may stand in prose, but not as a text of its own.
const ordinaryWords = new Set(['resumes']);

const isNamed = (text: string, name: string): boolean =>
	ordinaryWords.has(name)
		? text.includes(`'${name}'`) || text.includes(`"${name}"`)
		: text.includes(name);

test('nothing in src imports the adapter', () => {
	for (const {path, text} of sources) {
		assert.doesNotMatch(
			text,
			/from '(?:\.\.\/)+platform\/(?:wire|store|node|run|read|decode)/v,
			path,
		);
	}
});

test('no name of the platform stands outside the adapter', () => {
	const {reserved, ...headers} = wireHeaders;
	const paths = Object.values(nodePaths).filter(
		(path) => path !== nodePaths.metrics,
	);
	const wireNames = [
		...Object.values(headers),
		...reserved,
		...Object.values(storePaths),
		...Object.values(storeKeys),
		...paths,
		...fieldNames,
	];
	for (const {path, text} of sources) {
		for (const name of wireNames) {
			const isOwn = ownNames.has(`${path} ${name}`);
			assert.ok(isOwn || !isNamed(text, name), `${path} names ${name}`);
		}
	}
});
