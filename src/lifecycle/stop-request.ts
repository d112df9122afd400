/**
Where stop signals come from: the process.
*/
export type SignalSource = {
	on(signal: 'SIGTERM' | 'SIGINT', listener: (signal: string) => void): unknown;
};

/**
A request to stop the process, by SIGTERM or SIGINT.
*/
export type StopRequest = {
	/**
	Resolves with the name of the signal.
	*/
	readonly received: Promise<string>;
	isReceived(): boolean;
};

/**
Waits for a stop signal, and calls `onReceived` at once. From then on the process no longer ends by the signal alone.
*/
export const createStopRequest = (
	signals: SignalSource,
	onReceived: () => void,
): StopRequest => {
	const {promise, resolve} = Promise.withResolvers<string>();
	let isReceived = false;
	const receive = (signal: string) => {
		isReceived = true;
		onReceived();
		resolve(signal);
	};

	signals.on('SIGTERM', receive);
	signals.on('SIGINT', receive);
	return {received: promise, isReceived: () => isReceived};
};
