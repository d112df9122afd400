import type {Buffer} from 'node:buffer';
import type {GatewayError} from '../errors/index.ts';
import type {Prompt, Route} from '../routes/index.ts';

/**
A request that was read whole and has its route.
*/
export type Exchange = {
	readonly requestId: string;
	readonly method: string;
	/**
	Host that it was sent for, as it came.
	*/
	readonly host: string;
	/**
	Path and query, as they came.
	*/
	readonly target: string;
	/**
	Names and values in turn; without what is of one connection only, and without reserved headers.
	*/
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	readonly route: Route;
	readonly service: string;
	readonly prompt: Prompt | undefined;
	/**
	The account that asks for it; undefined where callers need no key.
	*/
	readonly client: RequestClient | undefined;
	/**
	When it had been read, by this node's clock in milliseconds, like all times here.
	*/
	readonly receivedAt: number;
	/**
	When it is answered at the latest: the caller's deadline or the route's timeout.
	*/
	readonly expiresAt: number;
	/**
	The last event that the caller has of a stream that it takes up again.
	*/
	readonly lastEventId: string | undefined;
	/**
	Given for a request that another node sent here.
	*/
	readonly hop: Hop | undefined;
};

/**
The client account of a request, as it was found by the caller's key.
*/
export type RequestClient = {
	readonly name: string;
	/**
	SHA-256 of the key in hexadecimal.
	*/
	readonly keyDigest: string;
};

/**
What another node says of a request that it sends here.
*/
export type Hop = {
	readonly origin: string;
	/**
	Backend servers that failed the request already.
	*/
	readonly excluded: readonly string[];
	/**
	Whether it may wait here for room.
	*/
	readonly canWait: boolean;
};

/**
How an answer leaves this node.
*/
export type ResponseSink = {
	/**
	Sends the head.

	@param server the backend server whose answer it is.
	*/
	begin(status: number, headers: readonly string[], server: string): void;
	/**
	Returns false when the receiver is slow; `onDrain` is called once it can take more.
	*/
	write(chunk: Buffer): boolean;
	end(chunk?: Buffer): void;
	/**
	Ends the connection without an end of the answer.
	*/
	abort(): void;
	/**
	Refuses the request.

	@param tried The backend servers that it was sent to.
	@param availableInMs When a server may be sent it, where that is known and not predicted; for another node.
	*/
	refuse(
		error: GatewayError,
		tried: readonly string[],
		availableInMs?: number,
	): void;
	onDrain(resume: () => void): void;
};

/**
How a request ended, for logs and metrics.
*/
export type DeliveryRecord = {
	readonly exchange: Exchange;
	readonly result: 'answered' | 'refused' | 'broken' | 'caller-left';
	readonly status: number;
	readonly reason: string;
	readonly outcome: string;
	/**
	What was tried, in order.
	*/
	readonly steps: readonly string[];
	readonly firstByteMs: number | undefined;
	readonly totalMs: number;
	readonly waitedMs: number;
	/**
	Between two pieces of a stream.
	*/
	readonly longestPauseMs: number;
	/**
	Whether it was not sent on because servers crashed each time that they ran it.
	*/
	readonly isQuarantined: boolean;
};
