import {readFileSync} from 'node:fs';

/**
Part of the descriptors of a process that the connections of callers may take.
*/
export const callersPart = 0.6;

const limitPattern = /^Max open files +(?<limit>\d+)/mv;

/**
Returns how many connections callers may have.

@param maximumDescriptors Descriptors of the process, which may be limited by other means than those of the operating system; what that allows if
undefined.
*/
export const callerConnectionsOf = (
	maximumDescriptors: number | undefined,
): number =>
	Math.floor(callersPart * (maximumDescriptors ?? descriptorsAllowed()));

// Infinite where the system does not say.
const descriptorsAllowed = (): number => {
	try {
		const limits = readFileSync('/proc/self/limits', 'utf8');
		return Number(limitPattern.exec(limits)?.groups?.limit ?? Infinity);
	} catch {
		return Infinity;
	}
};
