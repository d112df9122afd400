/**
Notices when nothing arrives on a stream for some time.
*/
export type SilenceWatch = {
	/**
	Waits for a promise. Returns undefined if it is still pending after the time-out.
	*/
	within<Value>(pending: Promise<Value>): Promise<Value | undefined>;
	stop(): void;
};

const checkIntervalMs = 1000;

/**
Creates a watch with one timer, which runs until `stop`.

@param clock
@param timeoutMs Time without an arrival that counts as silence, in milliseconds; accurate to a second.
*/
export const createSilenceWatch = (
	clock: () => number,
	timeoutMs: number,
): SilenceWatch => {
	let waitingSince = clock();
	let checkedAt = waitingSince;
	let onSilence: (() => void) | undefined;
	const timer = setInterval(() => {
		const now = clock();
		// After a pause of this process, the time without events says nothing about the other side.
		if (now - checkedAt > 2 * checkIntervalMs) {
			waitingSince = now;
		}

		checkedAt = now;
		if (now - waitingSince > timeoutMs) {
			onSilence?.();
		}
	}, checkIntervalMs);

	return {
		async within(pending) {
			waitingSince = clock();
			return new Promise((resolve, reject) => {
				onSilence = () => {
					resolve(undefined);
				};

				pending.then(resolve).catch(reject);
			});
		},
		stop() {
			clearInterval(timer);
		},
	};
};
