import type {Buffer} from 'node:buffer';
import type {GatewayError} from '../errors/index.ts';
import type {BodyFraming, StreamTail} from '../response-bodies/index.ts';
import type {Prompt, Route} from '../routes/index.ts';
import type {StreamRecord} from './stream-record.ts';

/**
A request that was received with its whole body and has a route.
*/
export type Exchange = {
	readonly requestId: string;
	readonly method: string;
	/**
	Host header, as received.
	*/
	readonly host: string;
	/**
	Path and query, as received.
	*/
	readonly target: string;
	/**
	Names and values alternately, without hop-by-hop and reserved headers.
	*/
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	readonly route: Route;
	readonly service: string;
	readonly prompt: Prompt | undefined;
	/**
	The account that sent the request; undefined if callers need no key.
	*/
	readonly client: RequestClient | undefined;
	/**
	When the request had been received, by this node's clock in milliseconds, like all times here.
	*/
	readonly receivedAt: number;
	/**
	Deadline for the response: that of the caller or the timeout of the route.
	*/
	readonly expiresAt: number;
	/**
	Id of the last event that the caller received of a stream that it resumes.
	*/
	readonly lastEventId: string | undefined;
	/**
	Id of the caller's request that brought the first event of that stream.
	*/
	readonly continuedRequestId: string | undefined;
	/**
	Set for a request that another node forwarded.
	*/
	readonly hop: Hop | undefined;
};

/**
The client account of a request, as looked up by the caller's key.
*/
export type RequestClient = {
	readonly name: string;
	/**
	SHA-256 of the key in hexadecimal.
	*/
	readonly keyDigest: string;
};

/**
What the forwarding node states about a request.
*/
export type Hop = {
	readonly origin: string;
	/**
	Backend servers at which the request has already failed.
	*/
	readonly excluded: readonly string[];
	/**
	Whether the request may wait here for capacity.
	*/
	readonly canWait: boolean;
	/**
	The only version of the servers' software that may run the request; undefined if any may.
	*/
	readonly softwareVersion: string | undefined;
};

/**
Destination of the response to a request.
*/
export type ResponseSink = {
	/**
	Sends the head.

	@param server The backend server that responded.
	*/
	begin(status: number, headers: readonly string[], server: string): void;
	/**
	Returns false when the receiver is slow; a callback of `onDrain` is called once more can be written.
	*/
	write(chunk: Buffer): boolean;
	end(chunk?: Buffer): void;
	/**
	Closes the connection without completing the response.
	*/
	abort(): void;
	/**
	Refuses the request.

	@param tried The backend servers to which the request was sent.
	@param availableInMs Time until a server may be sent the request, if it is known and not predicted; for the forwarding node.
	*/
	refuse(
		error: GatewayError,
		tried: readonly string[],
		availableInMs?: number,
	): void;
	onDrain(resume: () => void): void;
};

/**
Who ended a request that received no complete response.
*/
export const requestEnders = [
	'caller',
	/**
	The time of the request was over.
	*/
	'deadline',
	'backend-server',
	'other-node',
	'this-node',
] as const;

/**
The one that ended a request.
*/
export type RequestEnder = (typeof requestEnders)[number];

/**
The end of a request that was sent and received no complete response.
*/
export type IncompleteEnd = {
	readonly endedBy: RequestEnder;
	/**
	Time of the last byte of its latest call after the request was received, in milliseconds; undefined if there was none.
	*/
	readonly lastByteMs: number | undefined;
	/**
	Time without a byte on its latest call, in milliseconds.
	*/
	readonly silentMs: number;
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
	Steps of the delivery, in order.
	*/
	readonly steps: readonly string[];
	readonly firstByteMs: number | undefined;
	readonly totalMs: number;
	/**
	Version of the routes when the request was received.
	*/
	readonly receivedRoutesVersion: number;
	/**
	Undefined for a complete response, and for a request that was not sent.
	*/
	readonly incomplete: IncompleteEnd | undefined;
	readonly waitedMs: number;
	/**
	Longest time between two chunks of a stream.
	*/
	readonly longestPauseMs: number;
	/**
	Whether the request was not sent because servers crashed each time that they ran it.
	*/
	readonly isQuarantined: boolean;
	/**
	How the body of the latest response was framed; undefined without a response.
	*/
	readonly bodyFraming: BodyFraming | undefined;
	/**
	Where that body ended; undefined if its events were not scanned.
	*/
	readonly streamTail: StreamTail | undefined;
	/**
	Set for requests of streaming routes.
	*/
	readonly stream: StreamRecord | undefined;
};
