import {
	regionOfZone,
	type BackendServer,
	type Configuration,
	type Policy,
} from '../configuration/index.ts';
import {isSelected} from '../policies/index.ts';
import {isRegionAllowed, type Residency} from './residency.ts';

/**
Properties of a request that routing depends on.
*/
export type RouteQuery = {
	readonly service: string;
	readonly homeRegion: string;
	readonly residency: Residency;
};

/**
Whether a region or backend server is a candidate, and if not, why.
*/
export type CandidateVerdict = {
	readonly name: string;
	readonly verdict:
		| 'candidate'
		| 'region'
		| 'residency'
		| 'policy-regions'
		| 'policy-backend-servers'
		| 'other-service';
};

/**
Evaluates which regions residency and policy allow.
*/
export const evaluateRegions = (
	configuration: Configuration,
	policy: Policy,
	residency: Residency,
): readonly CandidateVerdict[] =>
	configuration.regions.map(({name, labels}) => {
		if (!isRegionAllowed(residency, name)) {
			return {name, verdict: 'residency'};
		}

		return {
			name,
			verdict: isSelected(policy.regions, labels)
				? 'candidate'
				: 'policy-regions',
		};
	});

/**
Inputs of `evaluateBackendServers`.
*/
export type BackendServerQuery = {
	readonly configuration: Configuration;
	readonly policy: Policy;
	readonly service: string;

	/**
	Verdicts on the regions, as returned by `evaluateRegions`.
	*/
	readonly regions: readonly CandidateVerdict[];
};

/**
Evaluates which backend servers of a service regions and policy allow.
*/
export const evaluateBackendServers = ({
	configuration,
	policy,
	service,
	regions,
}: BackendServerQuery): readonly CandidateVerdict[] => {
	const allowed = new Set(
		regions
			.filter(({verdict}) => verdict === 'candidate')
			.map(({name}) => name),
	);
	return configuration.backendServers.map((server) => {
		const region = regionOfZone(configuration, server.availabilityZone);
		const verdict = evaluateBackendServer(server, policy, service);
		const isRegionExcluded =
			verdict === 'candidate' && (region === undefined || !allowed.has(region));
		return {name: server.id, verdict: isRegionExcluded ? 'region' : verdict};
	});
};

const evaluateBackendServer = (
	server: BackendServer,
	policy: Policy,
	service: string,
): CandidateVerdict['verdict'] => {
	if (server.service !== service) {
		return 'other-service';
	}

	return isSelected(policy.backendServers, server.labels)
		? 'candidate'
		: 'policy-backend-servers';
};

/**
An availability zone with its backend servers that may serve a request.
*/
export type EligibleZone = {
	readonly availabilityZone: string;
	readonly region: string;
	readonly backendServers: readonly BackendServer[];
};

/**
 Creates a lookup of the zones and servers that are eligible for a service under a policy.
 
 The result depends only on the configuration, so it is computed once per pair of policy
 and service and cached; a new configuration needs a new lookup.
 */
export const createEligibility = (configuration: Configuration) => {
	const cache = new Map<string, readonly EligibleZone[]>();
	return (policy: Policy, service: string): readonly EligibleZone[] => {
		const key = `${policy.name}\u{0}${service}`;
		const cached = cache.get(key);
		if (cached) {
			return cached;
		}

		const zones = eligibleZones(configuration, policy, service);
		cache.set(key, zones);
		return zones;
	};
};

/**
Lookup of eligible zones, created by `createEligibility`.
*/
export type Eligibility = ReturnType<typeof createEligibility>;

const eligibleZones = (
	configuration: Configuration,
	policy: Policy,
	service: string,
): readonly EligibleZone[] =>
	configuration.regions
		.filter(({labels}) => isSelected(policy.regions, labels))
		.flatMap(({name, availabilityZones}) =>
			availabilityZones.map((availabilityZone) => ({
				availabilityZone,
				region: name,
				backendServers: configuration.backendServers.filter(
					(server) =>
						server.availabilityZone === availabilityZone &&
						evaluateBackendServer(server, policy, service) === 'candidate',
				),
			})),
		)
		.filter(({backendServers}) => backendServers.length > 0);
