import type {Configuration} from './configuration.ts';
import type {ConfigurationFault} from './configuration-fault.ts';

/**
Checks the constraints that the schema cannot express: names are unique, references have a target,
slices are not empty and first-token objectives have a threshold.
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
		...checkUnique(
			'regions',
			configuration.regions.map(({name}) => name),
		),
		...checkUnique('regions.availabilityZones', zones),
		...checkUnique(
			'services',
			configuration.services.map(({name}) => name),
		),
		...checkUnique(
			'backendServers',
			configuration.backendServers.map(({id}) => id),
		),
		...checkUnique(
			'clients',
			configuration.clients.map(({name}) => name),
		),
		...checkUnique(
			'clients.keySha256',
			configuration.clients.map(({keySha256}) => keySha256),
		),
		...checkUnique(
			'policies',
			configuration.policies.map(({name}) => name),
		),
		...configuration.services.flatMap((service, index) =>
			service.kind === 'model'
				? checkReferences(
						`services.${index}.models`,
						'model',
						service.models,
						modelNames,
					)
				: [],
		),
		...configuration.backendServers.flatMap(
			({service, availabilityZone}, index) => [
				...checkReferences(
					`backendServers.${index}.service`,
					'service',
					[service],
					serviceNames,
				),
				...checkReferences(
					`backendServers.${index}.availabilityZone`,
					'availability zone',
					[availabilityZone],
					new Set(zones),
				),
			],
		),
		...configuration.clients.flatMap(({residency}, index) =>
			checkReferences(
				`clients.${index}.residency`,
				'region',
				residency ?? [],
				regionNames,
			),
		),
		...configuration.policies.flatMap(({slice}, index) =>
			slice && slice.fromPercent >= slice.untilPercent
				? [emptySliceFault(index)]
				: [],
		),
		...configuration.objectives.flatMap(({kind, thresholdMs}, index) =>
			kind === 'first-token' && thresholdMs === undefined
				? [missingThresholdFault(index)]
				: [],
		),
	];
};

const checkUnique = (
	path: string,
	names: readonly string[],
): readonly ConfigurationFault[] => {
	const seen = new Set<string>();
	const duplicates = new Set<string>();
	for (const name of names) {
		if (seen.has(name)) {
			duplicates.add(name);
		}

		seen.add(name);
	}

	return [...duplicates].map((name) => ({
		path,
		fault: `"${name}" appears more than once`,
		remedy: 'give each entry a unique name',
	}));
};

const checkReferences = (
	path: string,
	kind: string,
	names: readonly string[],
	targets: ReadonlySet<string>,
): readonly ConfigurationFault[] =>
	names
		.filter((name) => !targets.has(name))
		.map((name) => ({
			path,
			fault: `there is no ${kind} "${name}"`,
			remedy:
				targets.size > 0
					? `use one of: ${[...targets].slice(0, 10).join(', ')}`
					: 'define it first',
		}));

const emptySliceFault = (index: number): ConfigurationFault => ({
	path: `policies.${index}.slice`,
	fault: 'is empty: fromPercent is not below untilPercent',
	remedy: 'make fromPercent smaller than untilPercent',
});

const missingThresholdFault = (index: number): ConfigurationFault => ({
	path: `objectives.${index}.thresholdMs`,
	fault: 'is missing',
	remedy: 'set the first-token threshold in milliseconds',
});
