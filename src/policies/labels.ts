import {Result} from 'true-myth';
import {createGatewayError, type GatewayError} from '../errors/index.ts';

/**
Labels of a request, region, model or backend server.
*/
export type Labels = Readonly<Record<string, string>>;

/**
Maximum number of labels per request.
*/
export const maximumLabels = 32;

/**
Maximum length of a label's key and of its value, in characters.
*/
export const maximumLabelLength = 63;

/**
 Parses the labels in a header value.
 
 @example
 parseLabels('weight=heavy,desk=dispatch');
 */
export const parseLabels = (
	text: string | undefined,
): Result<Labels, GatewayError> => {
	if (text === undefined || text.trim() === '') {
		return Result.ok({});
	}

	const pairs = text.split(',').map((pair) => pair.trim());
	if (pairs.length > maximumLabels) {
		return Result.err(tooLarge(`at most ${maximumLabels} labels may be given`));
	}

	const labels: Record<string, string> = {};
	for (const pair of pairs) {
		const [key = '', value, ...rest] = pair
			.split('=')
			.map((part) => part.trim());
		if (key === '' || value === undefined || rest.length > 0) {
			return Result.err(malformed(pair));
		}

		if (key.length > maximumLabelLength || value.length > maximumLabelLength) {
			return Result.err(
				tooLarge(
					`a label's key and value may have ${maximumLabelLength} characters each`,
				),
			);
		}

		if (Object.hasOwn(labels, key) && labels[key] !== value) {
			return Result.err(conflicting(key));
		}

		labels[key] = value;
	}

	return Result.ok(labels);
};

const malformed = (pair: string) =>
	createGatewayError(
		'bad-request',
		`Label "${pair}" cannot be read; write key=value, separated by commas`,
	);

const conflicting = (key: string) =>
	createGatewayError(
		'bad-request',
		`Label "${key}" is given twice with different values; give it once`,
	);

const tooLarge = (rule: string) =>
	createGatewayError('labels-too-large', `The labels are too large: ${rule}`);
