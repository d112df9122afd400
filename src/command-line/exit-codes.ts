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
	The arguments or settings of the command are invalid.
	*/
	usage: 2,
} as const;

/**
Exit code of a command.
*/
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
