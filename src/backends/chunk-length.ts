/**
Number of expected tokens per chunk of a service's streams, as measured by this node. Engines put several tokens into one
chunk, and callers estimate the length of a response in tokens.
*/
export type ChunkLength = {
	/**
	Records a complete stream.
	*/
	record(expectedTokens: number, chunks: number): void;
	/**
	Returns the expected number of chunks of a response; undefined before the first complete stream.
	*/
	chunksOf(expectedTokens: number): number | undefined;
};

// Weight of earlier streams after each complete one: some hundred streams determine the ratio.
const retainedFraction = 0.99;

/**
Creates a length without measurements.
*/
export const createChunkLength = (): ChunkLength => {
	let tokens = 0;
	let chunks = 0;

	return {
		record(expectedTokens, streamChunks) {
			tokens = tokens * retainedFraction + expectedTokens;
			chunks = chunks * retainedFraction + streamChunks;
		},
		chunksOf: (expectedTokens) =>
			tokens > 0 ? (expectedTokens * chunks) / tokens : undefined,
	};
};
