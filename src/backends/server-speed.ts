/**
Speed of one backend server beside the mean of its service, as measured by this node. Servers of a service may run on machines of
different classes.
*/
export type ServerSpeed = {
	/**
	Records the prefill speed of one long prompt at the server and the mean speed of the service, both in tokens per millisecond.
	*/
	record(tokensPerMs: number, meanTokensPerMs: number): void;
	/**
	How many times as fast as the mean the server is; 1 without measurements.
	*/
	relative(): number;
};

// Samples that the assumption of a mean speed counts for. A prompt that happened to be slow does not banish a server.
const priorSamples = 2;

// Samples over which the speed is averaged: enough to outlast what other work on the machine takes away for moments, few enough
// to notice that the server was replaced by one of another class.
const maximumSamples = 12;

// Bounds of a single measurement, which may contain a wait at the engine.
const minimumRatio = 0.25;
const maximumRatio = 4;

/**
Creates a speed without measurements.
*/
export const createServerSpeed = (): ServerSpeed => {
	let ratio = 1;
	let samples = priorSamples;

	return {
		record(tokensPerMs, meanTokensPerMs) {
			if (!(tokensPerMs > 0 && meanTokensPerMs > 0)) {
				return;
			}

			const measured = Math.min(
				maximumRatio,
				Math.max(minimumRatio, tokensPerMs / meanTokensPerMs),
			);
			samples = Math.min(maximumSamples, samples + 1);
			ratio += (measured - ratio) / samples;
		},
		relative: () => ratio,
	};
};
