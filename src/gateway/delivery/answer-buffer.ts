/**
Maximum size of a response that is kept until it is whole, and of all of them together, in bytes.
*/
export const maximumAnswerBytes = 16_777_216;
export const maximumBufferedBytes = 33_554_432;

/**
A response that is kept until it is whole.
*/
export type BufferedAnswer = {
	/**
	Counts further bytes. Ends the longest response that is kept if all together are too long, and this one if it is.
	*/
	add(bytes: number): void;
	/**
	Must be called when the response is no longer kept.
	*/
	release(): void;
};

/**
Limits the size of the responses that a node keeps until they are whole.
*/
export type AnswerBuffer = {
	/**
	Starts to keep a response.

	@param end Called if the response takes too much memory. It is released then.
	*/
	keep(end: (reason: string) => void): BufferedAnswer;
	bytes(): number;
};

type Kept = {
	bytes: number;
	readonly end: (reason: string) => void;
};

/**
Creates the buffer of a node.
*/
export const createAnswerBuffer = (): AnswerBuffer => {
	const kept = new Set<Kept>();
	let total = 0;

	const release = (answer: Kept) => {
		if (kept.delete(answer)) {
			total -= answer.bytes;
		}
	};

	const end = (answer: Kept, reason: string) => {
		release(answer);
		answer.end(reason);
	};

	// The longest one ends, so that short responses are not lost to long ones.
	const longest = (): Kept | undefined => {
		let found: Kept | undefined;
		for (const answer of kept) {
			if (!found || answer.bytes > found.bytes) {
				found = answer;
			}
		}

		return found;
	};

	return {
		keep(onEnd) {
			const answer: Kept = {bytes: 0, end: onEnd};
			kept.add(answer);
			return {
				add(bytes) {
					if (!kept.has(answer)) {
						return;
					}

					answer.bytes += bytes;
					total += bytes;
					if (answer.bytes > maximumAnswerBytes) {
						end(answer, 'The answer is too long to be kept until it is whole');
						return;
					}

					const exceeding =
						total > maximumBufferedBytes ? longest() : undefined;
					if (exceeding) {
						end(exceeding, 'The node keeps too many long answers');
					}
				},
				release() {
					release(answer);
				},
			};
		},
		bytes: () => total,
	};
};
