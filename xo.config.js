const config = [
	{
		ignores: ['dist/**', 'target/**', 'journal/**'],
	},
	{
		prettier: true,
		rules: {
			// The house style asks for a `never` check in every exhaustive switch.
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{
					allowDefaultCaseForExhaustiveSwitch: true,
					considerDefaultExhaustiveForUnions: true,
				},
			],
			// Streams, datagrams and HTTP bodies of the platform are Buffers.
			'@typescript-eslint/no-restricted-types': 'off',
			// The formatter takes the parentheses out again.
			'@stylistic/no-mixed-operators': 'off',
			// Attempts, answers and steps of a start follow one another by design.
			'no-await-in-loop': 'off',
			// Parameters are described where their names leave something open.
			'jsdoc/require-param-description': 'off',
			'jsdoc/check-param-names': 'off',
			// Schemas are nested calls by nature.
			'unicorn/max-nested-calls': 'off',
		},
	},
	{
		// What decides is told the time and given its random numbers; it reads and writes nothing.
		files: [
			'configuration',
			'digests',
			'fleet',
			'limits',
			'membership',
			'policies',
			'retries',
			'routing',
		].map((folder) => `src/${folder}/*.ts`),
		rules: {
			'no-restricted-imports': [
				'error',
				{
					patterns: [
						'node:*',
						'!node:buffer',
						'undici',
						'fastify',
						'@nestjs/*',
						'@trpc/*',
						'**/logging/*',
						'**/platform/*',
						'**/engines/*',
						'**/peers/*',
					],
				},
			],
			'no-restricted-globals': [
				'error',
				'setTimeout',
				'setInterval',
				'performance',
				'process',
				'fetch',
			],
			'no-restricted-properties': [
				'error',
				{object: 'Date', property: 'now'},
				{object: 'Math', property: 'random'},
			],
		},
	},
	{
		// Decorators are called like functions.
		files: ['src/administration/*.ts', 'src/callers/*.ts'],
		rules: {
			'new-cap': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
		},
	},
	{
		// Versions are pinned exactly, so that every checkout runs the same code.
		files: ['package.json'],
		rules: {'package-json/dependency-version-range': 'off'},
	},
	{
		// The adapter writes the platform's own field names.
		files: ['platform/*.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// The entry ends the process: what a leaving node still holds open must not keep it.
		files: ['main.ts'],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		files: ['src/command-line/*.ts'],
		rules: {'new-cap': 'off'},
	},
	{
		// Scripts and stand-ins speak foreign protocols.
		files: [
			'stand-ins/**',
			'tools/**',
			'benchmarks/**',
			'features/**',
			'tests/**',
		],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			'max-params': 'off',
			complexity: 'off',
		},
	},
	{
		// Tests and steps are registered by calls at the top; checks stand inside properties.
		files: ['features/**', 'tests/**'],
		rules: {
			'new-cap': 'off',
			'no-bitwise': 'off',
			'no-unreachable-loop': 'off',
			'node-test/no-compound-assertion': 'off',
			'node-test/no-conditional-assertion': 'off',
			'@typescript-eslint/no-deprecated': 'off',
			'@typescript-eslint/no-floating-promises': 'off',
			'@typescript-eslint/no-unsafe-enum-comparison': 'off',
			'unicorn/no-await-expression-member': 'off',
			'unicorn/no-break-in-nested-loop': 'off',
			'unicorn/no-duplicate-loops': 'off',
			'unicorn/no-object-as-default-parameter': 'off',
			'unicorn/no-top-level-side-effects': 'off',
			'unicorn/no-unused-builtin-method-return': 'off',
			'unicorn/prefer-continue': 'off',
			'unicorn/prefer-iterator-helpers': 'off',
			'unicorn/prefer-iterator-to-array': 'off',
		},
	},
];

export default config;
