import type {Selector} from '../configuration/index.ts';
import {assertNever} from '../shared/index.ts';
import type {Labels} from './labels.ts';

type Expression = Selector['matchExpressions'][number];

/**
Returns whether labels satisfy every requirement of a selector. An empty selector matches all labels.
*/
export const isSelected = (selector: Selector, labels: Labels): boolean =>
	Object.entries(selector.matchLabels).every(
		([key, value]) => labels[key] === value,
	) &&
	selector.matchExpressions.every((expression) =>
		isSatisfied(expression, labels),
	);

const isSatisfied = (expression: Expression, labels: Labels): boolean => {
	const value = labels[expression.key];
	switch (expression.operator) {
		case 'In': {
			return value !== undefined && expression.values.includes(value);
		}

		case 'NotIn': {
			// As in Kubernetes, NotIn also matches when the label is absent.
			return value === undefined || !expression.values.includes(value);
		}

		case 'Exists': {
			return value !== undefined;
		}

		case 'DoesNotExist': {
			return value === undefined;
		}

		default: {
			return assertNever(expression);
		}
	}
};
