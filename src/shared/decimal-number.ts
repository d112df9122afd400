// Hoisted: the bundler does not share literals between calls.
const decimalNumber = /^\d+(?:\.\d+)?$/v;

/**
Parses a non-negative decimal number such as `6.2`; undefined for any other text, exponents and signs included.
*/
export const parseDecimal = (text: string): number | undefined => {
	const trimmed = text.trim();
	return decimalNumber.test(trimmed) ? Number(trimmed) : undefined;
};
