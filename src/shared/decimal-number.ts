// Defined outside the function because the bundler does not share regular expression literals between calls.
const decimalNumber = /^\d+(?:\.\d+)?$/v;

/**
Parses a non-negative decimal number such as `6.2`. Returns undefined for any other text, including exponents and signs.
*/
export const parseDecimal = (text: string): number | undefined => {
	const trimmed = text.trim();
	return decimalNumber.test(trimmed) ? Number(trimmed) : undefined;
};
