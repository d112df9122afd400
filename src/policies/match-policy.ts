import type {Configuration, Policy} from '../configuration/index.ts';
import type {Labels} from './labels.ts';
import {isSelected} from './is-selected.ts';
import {isScheduled} from './schedules.ts';
import {isInSlice} from './slices.ts';

/**
Properties of a request that policies are matched against.
*/
export type PolicySubject = {
	readonly labels: Labels;
	readonly clientName: string;
	/**
	Session key; all requests of a session fall into the same slice.
	*/
	readonly session: string;
	/**
	Time of the request, in milliseconds since the Unix epoch.
	*/
	readonly wallClock: number;
};

/**
Result of matching a policy against a request, with the reason if it does not apply.
*/
export type PolicyVerdict = {
	readonly policy: Policy;
	readonly verdict:
		'matches' | 'labels-differ' | 'not-scheduled' | 'outside-slice';
};

/**
Returns the policies in evaluation order: highest priority first, then by name.
*/
export const orderedPolicies = (
	configuration: Configuration,
): readonly Policy[] =>
	configuration.policies.toSorted((left, right) =>
		right.priority === left.priority
			? compareNames(left, right)
			: right.priority - left.priority,
	);

/**
Evaluates one policy against a request.
*/
export const evaluatePolicy = (
	policy: Policy,
	subject: PolicySubject,
): PolicyVerdict => {
	if (!isSelected(policy.requests, subject.labels)) {
		return {policy, verdict: 'labels-differ'};
	}

	if (!isScheduled(policy.schedule, subject.wallClock)) {
		return {policy, verdict: 'not-scheduled'};
	}

	const isInside = isInSlice(policy.slice, subject.clientName, subject.session);
	return {policy, verdict: isInside ? 'matches' : 'outside-slice'};
};

/**
Returns the first matching policy. The policies must be in evaluation order.
*/
export const matchPolicy = (
	policies: readonly Policy[],
	subject: PolicySubject,
): Policy | undefined =>
	policies.find(
		(policy) => evaluatePolicy(policy, subject).verdict === 'matches',
	);

const compareNames = (left: Policy, right: Policy): number =>
	left.name < right.name ? -1 : 1;
