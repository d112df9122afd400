/**
Checks on parts of a decoded datagram; each returns the value or throws a `TypeError`, by which the
datagram is left out as a whole.
*/

/**
A text.
*/
export const checkText = (value: unknown): string => {
	if (typeof value !== 'string') {
		throw new TypeError('not a text');
	}

	return value;
};

/**
A finite number.
*/
export const checkNumber = (value: unknown): number => {
	const number = Number(value);
	if (typeof value === 'object' || !Number.isFinite(number)) {
		throw new TypeError('not a number');
	}

	return number;
};

/**
A list.
*/
export const checkList = (value: unknown): readonly unknown[] => {
	if (!Array.isArray(value)) {
		throw new TypeError('not a list');
	}

	return value as readonly unknown[];
};

/**
An object that is no list.
*/
export const checkRecord = (
	value: unknown,
): Readonly<Record<string, unknown>> => {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new TypeError('not a record');
	}

	return value as Readonly<Record<string, unknown>>;
};

/**
One of some choices, by its place among them.
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
		throw new TypeError('not one of the choices');
	}

	return choice;
};

/**
A number that is not less than nothing; throws for anything else.
*/
export const checkCount = (value: unknown): number => {
	const count = checkNumber(value);
	if (count < 0) {
		throw new TypeError('less than nothing');
	}

	return count;
};
