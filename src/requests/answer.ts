import type {Buffer} from 'node:buffer';
import type {GatewayError} from '../errors/index.ts';

/**
Header fields by lower-case name; each has one value.
*/
export type AnswerHeaders = Readonly<Record<string, string>>;

/**
Target that served a request; goes into reports and into the response headers.
*/
export type ServedBy = {
	readonly region: string;
	readonly availabilityZone: string;
	/**
	Id of the backend server, or of the node in another zone that chose one.
	*/
	readonly target: string;
	readonly attempts: number;
	readonly costPerThousandTokens: number;
};

/**
How a stream ended.
*/
export type StreamEnd =
	| {readonly kind: 'complete'; readonly tokens: number}
	| {
			readonly kind: 'broken';
			readonly tokens: number;
			readonly error: GatewayError;
	  }
	| {readonly kind: 'canceled'; readonly tokens: number};

/**
The answer to one request.
*/
export type Answer =
	| {
			readonly kind: 'complete';
			readonly status: number;
			readonly headers: AnswerHeaders;
			readonly body: Buffer;
			readonly servedBy: ServedBy | undefined;
			readonly tokens: number;
	  }
	| {
			readonly kind: 'stream';
			readonly status: number;
			readonly headers: AnswerHeaders;
			/**
			Chunks of the event stream; the return value says how it ended.
			*/
			readonly pieces: AsyncGenerator<string, StreamEnd, void>;
			readonly servedBy: ServedBy;
	  }
	| {readonly kind: 'refused'; readonly error: GatewayError};

/**
Wraps an error as an answer.
*/
export const refuse = (error: GatewayError): Answer => ({
	kind: 'refused',
	error,
});
