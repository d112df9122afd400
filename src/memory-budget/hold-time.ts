/**
How long bodies are held, as an exponential average over those that were released.
*/
export type HoldTime = {
	record(heldMs: number): void;
	meanMs(): number;
};

/**
Time that is assumed until a body has been released, in milliseconds.
*/
export const assumedHoldMs = 500;

// Weight of the latest body.
const latestWeight = 0.1;

/**
Creates an average without a body.
*/
export const createHoldTime = (): HoldTime => {
	let meanMs: number | undefined;

	return {
		record(heldMs) {
			meanMs =
				meanMs === undefined
					? heldMs
					: meanMs + (heldMs - meanMs) * latestWeight;
		},
		meanMs: () => meanMs ?? assumedHoldMs,
	};
};
