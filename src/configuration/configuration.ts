import type {z} from 'zod';
import type {configurationSchema} from './configuration-schema.ts';

type DeepReadonly<Value> =
	Value extends ReadonlyArray<infer Item>
		? ReadonlyArray<DeepReadonly<Item>>
		: Value extends Record<string, unknown>
			? {readonly [Key in keyof Value]: DeepReadonly<Value[Key]>}
			: Value;

/**
A validated configuration document.
*/
export type Configuration = DeepReadonly<z.output<typeof configurationSchema>>;

/**
A region and its availability zones.
*/
export type Region = Configuration['regions'][number];

/**
A service: a group of model engines or of plain HTTP servers.
*/
export type Service = Configuration['services'][number];

/**
A backend server in the configuration.
*/
export type BackendServer = Configuration['backendServers'][number];

/**
A client account.
*/
export type Client = Configuration['clients'][number];

/**
A routing policy.
*/
export type Policy = Configuration['policies'][number];

/**
The strategy by which a policy chooses among candidates.
*/
export type Strategy = Policy['strategy'];

/**
A label selector.
*/
export type Selector = Policy['requests'];

/**
A service-level objective.
*/
export type Objective = Configuration['objectives'][number];

/**
Returns the region of an availability zone.
*/
export const regionOfZone = (
	configuration: Configuration,
	availabilityZone: string,
): string | undefined =>
	configuration.regions.find((region) =>
		region.availabilityZones.includes(availabilityZone),
	)?.name;
