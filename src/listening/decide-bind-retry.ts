/**
What a node does after an address could not be bound.
*/
export type BindRetry =
	| {readonly kind: 'again'; readonly afterMs: number}
	| {readonly kind: 'give-up'; readonly reason: string};

/**
A failed attempt to bind an address.
*/
export type FailedBind = {
	/**
	Error code of the operating system, such as `EADDRINUSE`.
	*/
	readonly code: string | undefined;
	/**
	Time since the first attempt, in milliseconds.
	*/
	readonly waitedMs: number;
	/**
	Whether the node cannot serve without this socket. It tries again without end for the others.
	*/
	readonly isRequired: boolean;
	/**
	Whether the node was told to stop.
	*/
	readonly isStopped: boolean;
};

/**
Maximum time for which a node waits for an address, in milliseconds. Longer than its predecessor may take to end.
*/
export const bindTimeoutMs = 20_000;

/**
Interval between two attempts, in milliseconds.
*/
export const bindIntervalMs = 100;

// Returns what an operator can do about an error that may pass without a change of the settings; undefined for other errors.
const adviceOn = (code: string | undefined): string | undefined => {
	switch (code) {
		case 'EADDRINUSE': {
			return 'another socket uses the address; stop the process that holds it, or set another address';
		}

		case 'EADDRNOTAVAIL': {
			return 'no interface of this machine has the address; add it, or set another one';
		}

		case 'EMFILE':
		case 'ENFILE': {
			return 'there are no file descriptors left; raise the limit of the process or of the machine';
		}

		case 'ENOBUFS':
		case 'ENOMEM': {
			return 'there is no memory left for sockets';
		}

		default: {
			return undefined;
		}
	}
};

/**
Decides whether a node tries again to bind an address.
*/
export const decideBindRetry = ({
	code,
	waitedMs,
	isRequired,
	isStopped,
}: FailedBind): BindRetry => {
	if (isStopped) {
		return {kind: 'give-up', reason: 'the node was told to stop'};
	}

	const advice = adviceOn(code);
	if (advice === undefined) {
		return {kind: 'give-up', reason: 'trying again does not help'};
	}

	return isRequired && waitedMs >= bindTimeoutMs
		? {kind: 'give-up', reason: advice}
		: {kind: 'again', afterMs: bindIntervalMs};
};
