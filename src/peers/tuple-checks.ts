/**
Checks on parts of a decoded datagram. Each check returns the value or throws a `TypeError`, which makes the decoder
discard the whole datagram.
*/

/**
Checks that a value is a string.
*/
export const checkString = (value: unknown): string => {
	if (typeof value !== 'string') {
		throw new TypeError('expected a string');
	}

	return value;
};

/**
Checks that a value is a finite number or converts to one.
*/
export const checkNumber = (value: unknown): number => {
	const number = Number(value);
	if (typeof value === 'object' || !Number.isFinite(number)) {
		throw new TypeError('expected a finite number');
	}

	return number;
};

/**
Checks that a value is an array.
*/
export const checkArray = (value: unknown): readonly unknown[] => {
	if (!Array.isArray(value)) {
		throw new TypeError('expected an array');
	}

	return value as readonly unknown[];
};

/**
Checks that a value is an object other than an array.
*/
export const checkRecord = (
	value: unknown,
): Readonly<Record<string, unknown>> => {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new TypeError('expected an object');
	}

	return value as Readonly<Record<string, unknown>>;
};

/**
Returns the choice at an index.
*/
export const checkChoice = <Choice>(
	choices: readonly Choice[],
	value: unknown,
): Choice => {
	const choice =
		typeof value === 'number' && Number.isSafeInteger(value)
			? choices[value]
			: undefined;
	if (choice === undefined) {
		throw new TypeError('expected the index of a choice');
	}

	return choice;
};

/**
Checks that a value is a finite number of at least zero.
*/
export const checkNonNegative = (value: unknown): number => {
	const count = checkNumber(value);
	if (count < 0) {
		throw new TypeError('expected a non-negative number');
	}

	return count;
};
