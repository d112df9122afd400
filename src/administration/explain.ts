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
Properties of the request to explain; all are optional.
*/
export type ExplainQuery = {
	readonly labels?: string;
	readonly client?: string;
	readonly session?: string;
	readonly service?: string;
	readonly model?: string;
	readonly residency?: string;
	/**
	Time of the request, in milliseconds since the Unix epoch; defaults to the current time.
	*/
	readonly at?: string;
};

/**
Explains where a request would be served and why.
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
			Load and health of the backend servers; undefined without a running node.
			*/
			readonly live: readonly BackendServerState[] | undefined;
	  };

/**
Live state of a running node, included in explanations.
*/
export type LiveState = {readonly fleet: Fleet; readonly clock: () => number};

/**
Explains which policy applies to a request and which regions and backend servers it allows.
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

// Only the first matching policy applies; later policies are not evaluated.
const describeVerdicts = (
	verdicts: readonly PolicyVerdict[],
	matched: Policy | undefined,
) => {
	const position = verdicts.findIndex(({policy}) => policy === matched);
	return verdicts.map(({policy, verdict}, index) => ({
		name: policy.name,
		verdict: matched && index > position ? ('not-tried' as const) : verdict,
	}));
};
