/**
What was in flight at several crashes, one after the other, and not in a complete answer since.
*/
export type CrashSuspect = {
	readonly fingerprint: string;
	/**
	Number of its sequential crashes.
	*/
	readonly sequentialCrashes: number;
	/**
	Number of all its crashes.
	*/
	readonly crashes: () => number;
	readonly wasInQuarantine: boolean;
	/**
	Its share of the blame for these crashes, from 0 to their number.
	*/
	readonly blame: () => number;
	/**
	Number of requests in flight under its fingerprint, averaged over its crashes.
	*/
	readonly meanCount: () => number;
};

/**
Returns the fingerprint of the suspect that is at fault, if any is. The suspects were in flight at the same crash, and at several
sequential ones.
*/
export type CrashJudge = (
	suspects: readonly CrashSuspect[],
) => string | undefined;

/**
Minimum number of sequential crashes after which a request may be put in quarantine. Not every such request is: harmless
requests may have been there by chance, so the blame is weighed as described below.
*/
export const minimumCrashes = 3;

/**
The blame at which a request is put in quarantine. The blame for a crash is shared among the requests in flight,
weighted by the number of their crashes; two requests that were at the same three crashes have a blame of 1.5 each.
*/
export const blameThreshold = 1.6;

/**
Number of sequential crashes at which a request is put in quarantine whatever other requests were in flight.
*/
export const conclusiveCrashes = 6;

/**
Judges whole requests: most of the suspects are at few crashes and share little of the blame.
*/
export const judgeByBlame: CrashJudge = (suspects) => {
	const [first] = suspects.toSorted(
		(left, right) => right.sequentialCrashes - left.sequentialCrashes,
	);
	return first !== undefined &&
		(first.sequentialCrashes >= conclusiveCrashes ||
			first.blame() >= blameThreshold)
		? first.fingerprint
		: undefined;
};

/**
Number of crashes after which a part of prompts is put in quarantine, if no complete answer had it since the first. A sound part is in
flight at fewer by chance, because its requests are retried and answered in between.
*/
export const minimumPartCrashes = 5;

/**
Number of sequential crashes after which a part of prompts may be put in quarantine. Many servers that lose power together are one.
*/
export const minimumSequentialPartCrashes = 2;

/**
Number of crashes at which a part of prompts is put in quarantine although another one may be at fault as well. A part that is in no
other prompts than the one at fault stays at the same crashes.
*/
export const conclusivePartCrashes = 8;

/**
How many times the weight of any other suspect the part at fault must have: that of one more crash.
*/
export const decisiveWeightRatio = 2;

/**
Judges parts of prompts by the suspects' numbers of crashes and of requests in flight there: the weight of a part doubles with each
crash, and falls with the number of its requests. A part that all requests have is at every crash, with many requests, and the part
that causes them is there with few.
*/
export const judgeBySpecificity: CrashJudge = (suspects) => {
	const [first, second] = suspects
		.map((suspect) => ({...suspect, crashes: suspect.crashes()}))
		.map((suspect) => ({
			...suspect,
			weight: 2 ** suspect.crashes / suspect.meanCount(),
		}))
		.toSorted((left, right) => right.weight - left.weight);
	if (!first) {
		return undefined;
	}

	const isDecisive =
		!second || first.weight >= decisiveWeightRatio * second.weight;
	const isAtFault =
		first.wasInQuarantine ||
		first.crashes >= conclusivePartCrashes ||
		(isDecisive && first.crashes >= minimumPartCrashes);
	return isAtFault ? first.fingerprint : undefined;
};
