/**
Prefill speed of the engines of a service, as measured by this node.
*/
export type PrefillSpeed = {
	/**
	Records the time to the first event of a prompt at an engine that had no other prefill backlog.
	*/
	record(tokens: number, milliseconds: number): void;
	/**
	Whether a prompt is long enough to be measured.
	*/
	canMeasure(tokens: number, milliseconds: number): boolean;
	/**
	Tokens per millisecond; undefined before the first measurement.
	*/
	tokensPerMs(): number | undefined;
};

/**
Minimum tokens of a prompt that is measured. For shorter prompts, network transit and the wait for an engine step take as long as
the prefill itself.
*/
export const minimumSampleTokens = 2500;

// Weight of the latest prompt in the moving average.
const speedWeight = 0.2;

/**
Creates a speed without measurements.
*/
export const createPrefillSpeed = (): PrefillSpeed => {
	let speed: number | undefined;
	const canMeasure = (tokens: number, milliseconds: number) =>
		tokens >= minimumSampleTokens && milliseconds > 0;

	return {
		canMeasure,
		record(tokens, milliseconds) {
			if (!canMeasure(tokens, milliseconds)) {
				return;
			}

			const measured = tokens / milliseconds;
			speed =
				speed === undefined
					? measured
					: speed + (measured - speed) * speedWeight;
		},
		tokensPerMs: () => speed,
	};
};
