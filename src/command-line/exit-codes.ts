/**
Exit codes of the command line.
*/
export const exitCodes = {
	ok: 0,
	/**
	The command ran and failed.
	*/
	failure: 1,
	/**
	The command was called wrongly or its settings are not valid.
	*/
	usage: 2,
} as const;

/**
One of the exit codes.
*/
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
