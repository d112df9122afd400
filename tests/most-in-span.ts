/**
The most moments in any span.

@param times In order, in milliseconds.
@param spanMs Length of the span, in milliseconds.
*/
export const maximumInWindow = (
	times: readonly number[],
	spanMs: number,
): number => {
	let first = 0;
	let most = 0;
	for (const [index, at] of times.entries()) {
		while (at - times[first]! > spanMs) {
			first += 1;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
};
