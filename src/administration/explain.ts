import type {Configuration, Policy} from '../configuration/index.ts';
import type {BackendServerState, Fleet} from '../fleet/index.ts';
import {
	evaluatePolicy,
	orderedPolicies,
	parseLabels,
	type PolicyVerdict,
} from '../policies/index.ts';
import {
	evaluateBackendServers,
	evaluateRegions,
	resolveResidency,
	type CandidateVerdict,
} from '../routing/index.ts';

/**
What a question about a request states; all parts may be left out.
*/
export type ExplainQuery = {
	readonly labels?: string;
	readonly client?: string;
	readonly session?: string;
	readonly service?: string;
	readonly model?: string;
	readonly residency?: string;
	/**
	Milliseconds since the epoch; now, where left out.
	*/
	readonly at?: string;
};

/**
Why a request would be served where it would be.
*/
export type Explanation =
	| {readonly kind: 'fault'; readonly fault: string}
	| {
			readonly kind: 'explained';
			readonly policy: string | undefined;
			readonly policies: ReadonlyArray<{
				readonly name: string;
				readonly verdict: PolicyVerdict['verdict'] | 'not-tried';
			}>;
			readonly regions: readonly CandidateVerdict[];
			readonly backendServers: readonly CandidateVerdict[];
			/**
			Load and health, from a running node only.
			*/
			readonly live: readonly BackendServerState[] | undefined;
	  };

/**
The live state that an explanation can draw on.
*/
export type LiveState = {readonly fleet: Fleet; readonly clock: () => number};

/**
Explains which policy applies to a request and what it leaves.
*/
export const explainRequest = (
	configuration: Configuration | undefined,
	query: ExplainQuery,
	live?: LiveState,
): Explanation => {
	if (!configuration) {
		return {kind: 'fault', fault: 'There is no configuration yet'};
	}

	const client = findClient(configuration, query.client);
	if (!client) {
		return {kind: 'fault', fault: `There is no client "${query.client}"`};
	}

	const service = findService(configuration, query);
	if (!service) {
		return {kind: 'fault', fault: 'Name a known service or model'};
	}

	const labels = parseLabels(query.labels);
	const requested = query.residency?.split(',');
	const residency = resolveResidency({requested, client}, configuration);
	if (labels.isErr || residency.isErr) {
		return {
			kind: 'fault',
			fault: labels.isErr
				? labels.error.message
				: residency.isErr
					? residency.error.message
					: '',
		};
	}

	const subject = {
		labels: {
			...client.labels,
			...labels.value,
			client: client.name,
			service: service.name,
			...(query.model !== undefined && {model: query.model}),
		},
		clientName: client.name,
		session: query.session ?? '',
		wallClock: query.at === undefined ? Date.now() : Number(query.at),
	};
	const verdicts = orderedPolicies(configuration).map((policy) =>
		evaluatePolicy(policy, subject),
	);
	const policy = verdicts.find(({verdict}) => verdict === 'matches')?.policy;
	const regions = policy
		? evaluateRegions(configuration, policy, residency.value)
		: [];
	const states = live?.fleet
		.states(live.clock())
		.filter((state) => state.service === service.name);
	return {
		kind: 'explained',
		policy: policy?.name,
		policies: describeVerdicts(verdicts, policy),
		regions,
		backendServers: policy
			? evaluateBackendServers({
					configuration,
					policy,
					service: service.name,
					regions,
				})
			: [],
		live: states,
	};
};

const findClient = (configuration: Configuration, name: string | undefined) =>
	name === undefined
		? configuration.clients[0]
		: configuration.clients.find((client) => client.name === name);

const findService = (configuration: Configuration, query: ExplainQuery) => {
	const {service, model} = query;
	if (service === undefined && model === undefined) {
		return configuration.services[0];
	}

	return configuration.services.find((candidate) =>
		service === undefined
			? candidate.kind === 'model' && candidate.models.includes(model ?? '')
			: candidate.name === service,
	);
};

// The first that matches is the one in force; the others behind it are not even tried.
const describeVerdicts = (
	verdicts: readonly PolicyVerdict[],
	chosen: Policy | undefined,
) => {
	const position = verdicts.findIndex(({policy}) => policy === chosen);
	return verdicts.map(({policy, verdict}, index) => ({
		name: policy.name,
		verdict: chosen && index > position ? ('not-tried' as const) : verdict,
	}));
};
