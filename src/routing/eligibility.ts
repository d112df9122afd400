import {
	regionOfZone,
	type BackendServer,
	type Configuration,
	type Policy,
} from '../configuration/index.ts';
import {isSelected} from '../policies/index.ts';
import {isRegionAllowed, type Residency} from './residency.ts';

/**
What routing needs to know of a request.
*/
export type RouteQuery = {
	readonly service: string;
	readonly homeRegion: string;
	readonly residency: Residency;
};

/**
Why a region or backend server is or is not a candidate.
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
The regions that residency and policy leave.
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
What the verdicts on backend servers depend on.
*/
export type BackendServerQuery = {
	readonly configuration: Configuration;
	readonly policy: Policy;
	readonly service: string;

	/**
	Verdicts on the regions, as `judgeRegions` gives them.
	*/
	readonly regions: readonly CandidateVerdict[];
};

/**
The backend servers of one service that regions and policy leave.
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
		const verdict = judgeBackendServer(server, policy, service);
		const isRuledOut =
			verdict === 'candidate' && (region === undefined || !allowed.has(region));
		return {name: server.id, verdict: isRuledOut ? 'region' : verdict};
	});
};

const judgeBackendServer = (
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
An availability zone with the backend servers there that may serve a request.
*/
export type EligibleZone = {
	readonly availabilityZone: string;
	readonly region: string;
	readonly backendServers: readonly BackendServer[];
};

/**
 Answers which zones and servers are eligible for a service under a policy.
 
 The answer depends on the configuration alone, so it is worked out once for each
 pair of policy and service and kept until the configuration changes.
 */
export const createEligibility = (configuration: Configuration) => {
	const kept = new Map<string, readonly EligibleZone[]>();
	return (policy: Policy, service: string): readonly EligibleZone[] => {
		const key = `${policy.name}\u{0}${service}`;
		const known = kept.get(key);
		if (known) {
			return known;
		}

		const zones = eligibleZones(configuration, policy, service);
		kept.set(key, zones);
		return zones;
	};
};

/**
Looks up eligible zones; made by `createEligibility`.
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
						judgeBackendServer(server, policy, service) === 'candidate',
				),
			})),
		)
		.filter(({backendServers}) => backendServers.length > 0);
