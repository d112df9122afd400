/**
Marks a branch that an exhaustive `switch` can never reach.
*/
export const assertNever = (value: never): never => {
	throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
};
