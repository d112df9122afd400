/**
Marks a branch that an exhaustive `switch` never reaches.
*/
export const assertNever = (value: never): never => {
	throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
};
