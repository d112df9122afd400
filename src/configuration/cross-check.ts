import type {Configuration} from './configuration.ts';
import type {ConfigurationFault} from './configuration-fault.ts';

/**
Checks what a schema cannot: that names are unique and that references have a target.
*/
export const crossCheck = (
	configuration: Configuration,
): readonly ConfigurationFault[] => {
	const regionNames = new Set(configuration.regions.map(({name}) => name));
	const zones = configuration.regions.flatMap(
		({availabilityZones}) => availabilityZones,
	);
	const serviceNames = new Set(configuration.services.map(({name}) => name));
	const modelNames = new Set(configuration.models.map(({name}) => name));
	return [
		...unique(
			'regions',
			configuration.regions.map(({name}) => name),
		),
		...unique('regions.availabilityZones', zones),
		...unique(
			'services',
			configuration.services.map(({name}) => name),
		),
		...unique(
			'backendServers',
			configuration.backendServers.map(({id}) => id),
		),
		...unique(
			'clients',
			configuration.clients.map(({name}) => name),
		),
		...unique(
			'clients.keySha256',
			configuration.clients.map(({keySha256}) => keySha256),
		),
		...unique(
			'policies',
			configuration.policies.map(({name}) => name),
		),
		...configuration.services.flatMap((service, index) =>
			service.kind === 'model'
				? known(`services.${index}.models`, 'model', service.models, modelNames)
				: [],
		),
		...configuration.backendServers.flatMap(
			({service, availabilityZone}, index) => [
				...known(
					`backendServers.${index}.service`,
					'service',
					[service],
					serviceNames,
				),
				...known(
					`backendServers.${index}.availabilityZone`,
					'availability zone',
					[availabilityZone],
					new Set(zones),
				),
			],
		),
		...configuration.clients.flatMap(({residency}, index) =>
			known(
				`clients.${index}.residency`,
				'region',
				residency ?? [],
				regionNames,
			),
		),
		...configuration.policies.flatMap(({slice}, index) =>
			slice && slice.fromPercent >= slice.untilPercent
				? [emptySlice(index)]
				: [],
		),
		...configuration.objectives.flatMap(({kind, thresholdMs}, index) =>
			kind === 'first-token' && thresholdMs === undefined
				? [missingThreshold(index)]
				: [],
		),
	];
};

const unique = (
	path: string,
	names: readonly string[],
): readonly ConfigurationFault[] => {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const name of names) {
		if (seen.has(name)) {
			repeated.add(name);
		}

		seen.add(name);
	}

	return [...repeated].map((name) => ({
		path,
		fault: `"${name}" stands more than once`,
		remedy: 'give each entry a name of its own',
	}));
};

const known = (
	path: string,
	what: string,
	names: readonly string[],
	targets: ReadonlySet<string>,
): readonly ConfigurationFault[] =>
	names
		.filter((name) => !targets.has(name))
		.map((name) => ({
			path,
			fault: `there is no ${what} "${name}"`,
			remedy:
				targets.size > 0
					? `use one of: ${[...targets].slice(0, 10).join(', ')}`
					: 'define it first',
		}));

const emptySlice = (index: number): ConfigurationFault => ({
	path: `policies.${index}.slice`,
	fault: 'selects nothing: fromPercent is not below untilPercent',
	remedy: 'make fromPercent smaller than untilPercent',
});

const missingThreshold = (index: number): ConfigurationFault => ({
	path: `objectives.${index}.thresholdMs`,
	fault: 'is missing',
	remedy: 'state the first-token threshold in milliseconds',
});
