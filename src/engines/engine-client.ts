import type {Buffer} from 'node:buffer';
import {Agent, request, type Dispatcher} from 'undici';
import {Result} from 'true-myth';
import {z} from 'zod';
import {createGatewayError} from '../errors/index.ts';
import type {LoadReport} from '../fleet/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import type {ClearedRegion} from '../routing/index.ts';
import {discardBody, headerReader, type Address} from '../shared/index.ts';
import {withdrawnCode, withdrawUnless} from './withdraw-unless.ts';

/**
A request as it is sent to a backend server.
*/
export type BackendCall = {
	readonly method: string;
	/**
	Path and query.
	*/
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer;
	/**
	Names this attempt; the server repeats it in its answer.
	*/
	readonly attemptId: string;
	readonly priority: number;
	/**
	Tokens that the caller has already; the server goes on after them.
	*/
	readonly resumeFrom: number;
	readonly signal: AbortSignal;
	/**
	Asked just before the first byte is written, for the call may have waited for a connection; nothing is sent where it
	returns false.
	*/
	readonly canBegin: () => boolean;
	/**
	Told the head of the server's answer, whatever it amounts to.
	*/
	readonly onHead: (head: EngineHead) => void;
};

/**
The head of an answer of a backend server.
*/
export type EngineHead = {
	readonly status: number;
	readonly header: (name: string) => string | undefined;
};

/**
The beginning of an answer; the body follows as it arrives.
*/
export type UpstreamAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: AsyncIterable<Buffer>;
};

/**
What a load report says, with whether the server is leaving.
*/
export type EngineStatus = LoadReport & {
	readonly isLeaving: boolean;
	readonly ageMs: number;
};

/**
What runs at the address of an engine.
*/
export type EngineProcessState =
	| {
			readonly kind: 'running';
			/**
			Names the engine process.
			*/
			readonly incarnation: string;
	  }
	/**
	Nobody listens there.
	*/
	| {readonly kind: 'gone'}
	| {readonly kind: 'silent'};

type ReadFailure = {
	/**
	Whether nobody listens at the address.
	*/
	readonly isRefused: boolean;
	readonly reason: string;
};

/**
 Talks to backend servers: model engines and plain services.
 
 Every call asks for proof that residency was checked for the server's region.
 */
export type EngineClient = {
	send(
		address: Address,
		call: BackendCall,
		cleared: ClearedRegion,
	): Promise<Result<UpstreamAnswer, AttemptFailure>>;
	readStatus(
		address: Address,
		onHead: (head: EngineHead) => void,
	): Promise<Result<EngineStatus, string>>;
	/**
	Asks what runs at an address now.
	*/
	readProcessState(address: Address): Promise<EngineProcessState>;
	close(): Promise<void>;
};

/**
Header by which a backend server states that it did not begin a request.
*/
export const notRunHeader = 'x-not-run';

/**
Header by which a backend server in need names the requests a second, a decimal number, that it takes from all nodes
together.
*/
export const limitHeader = 'x-requests-per-second';

/**
Header by which a backend server that is shutting down says so: `1`.
*/
export const leavingHeader = 'x-leaving';

/**
Header that carries the attempt id to the server and back.
*/
export const attemptHeader = 'x-attempt-id';

const statusBody = z.object({
	running: z.number(),
	queued: z.number(),
	slots: z.number(),
	incarnation: z.string(),
	isLeaving: z.boolean().default(false),
	ageMs: z.number().default(0),
});

const refusedCode = 'ECONNREFUSED';
const connectTimeoutMs = 1000;
const statusTimeoutMs = 1000;

/**
Builds a client with its own pool of connections.
*/
export const createEngineClient = (
	translate: (address: Address) => Address,
): EngineClient => {
	const dispatcher = new Agent({
		connect: {timeout: connectTimeoutMs},
		connections: 512,
		// Time bounds belong to requests, whose deadlines abort them; a long stream is no fault.
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	const readJson = async <Body>(
		address: Address,
		path: string,
		schema: z.ZodType<Body>,
		onHead: (head: EngineHead) => void = () => undefined,
	) => {
		try {
			const answer = await request(`http://${translate(address)}${path}`, {
				dispatcher,
				signal: AbortSignal.timeout(statusTimeoutMs),
			});
			onHead(headOf(answer));
			const parsed = schema.safeParse(await answer.body.json());
			return parsed.success
				? Result.ok<Body, ReadFailure>(parsed.data)
				: Result.err<Body, ReadFailure>({
						isRefused: false,
						reason: `the answer cannot be read: ${parsed.error.message}`,
					});
		} catch (error) {
			const {code, message} = error as NodeJS.ErrnoException;
			const isRefused = code === refusedCode;
			return Result.err<Body, ReadFailure>({isRefused, reason: message});
		}
	};

	return {
		async send(address, call, _cleared) {
			try {
				const answer = await request(
					`http://${translate(address)}${call.path}`,
					{
						dispatcher: dispatcher.compose(withdrawUnless(call.canBegin)),
						method: call.method,
						headers: {
							...call.headers,
							[attemptHeader]: call.attemptId,
							'x-priority': String(call.priority),
							'x-resume-from': String(call.resumeFrom),
						},
						body: call.body.length > 0 ? call.body : undefined,
						signal: call.signal,
					},
				);
				call.onHead(headOf(answer));
				return await judgeAnswer(answer, call.attemptId);
			} catch (error) {
				return Result.err(failureOf(error as Error));
			}
		},
		async readStatus(address, onHead) {
			const status = await readJson(address, '/load', statusBody, onHead);
			return status.mapErr(({reason}) => reason);
		},
		async readProcessState(address) {
			const status = await readJson(address, '/load', statusBody);
			return status.isOk
				? {kind: 'running', incarnation: status.value.incarnation}
				: {kind: status.error.isRefused ? 'gone' : 'silent'};
		},
		close: async () => dispatcher.destroy(),
	};
};

/**
 What an error of a connection proves.
 
 Only errors that come before a byte was sent prove that nothing ran.
 */
export const failureOf = (error: Error): AttemptFailure => {
	const code = (error as NodeJS.ErrnoException).code ?? '';
	if (code === withdrawnCode) {
		return withdrawn();
	}

	const isBeforeSend = beforeSendCodes.has(code);
	return {
		isStated: false,
		outcome: isBeforeSend ? 'not-run' : 'unknown',
		error: createGatewayError(
			'attempt-failed',
			isBeforeSend
				? 'The backend server could not be reached'
				: `The connection failed (${code === '' ? error.name : code})`,
			{outcome: isBeforeSend ? 'not-run' : 'unknown'},
		),
	};
};

const withdrawn = (): AttemptFailure => ({
	outcome: 'not-run',
	isStated: false,
	isWithdrawn: true,
	error: createGatewayError(
		'overloaded',
		'The request was withdrawn before it was sent: the backend server leaves or rests, or the node was paused',
	),
});

const headOf = ({
	statusCode,
	headers,
}: Dispatcher.ResponseData): EngineHead => ({
	status: statusCode,
	header: headerReader(headers),
});

const beforeSendCodes: ReadonlySet<string> = new Set([
	refusedCode,
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const judgeAnswer = async (
	answer: Dispatcher.ResponseData,
	attemptId: string,
): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
	if (answer.headers[notRunHeader] !== undefined) {
		await answer.body.dump();
		return Result.err(refusal(answer));
	}

	if (answer.headers[attemptHeader] !== attemptId) {
		discardBody(answer.body);
		return Result.err(foreignAnswer());
	}

	return Result.ok({
		status: answer.statusCode,
		headers: answer.headers,
		body: answer.body,
	});
};

const refusal = ({statusCode}: Dispatcher.ResponseData): AttemptFailure => ({
	outcome: 'not-run',
	isStated: true,
	error: createGatewayError(
		'overloaded',
		`The backend server refused the request (status ${statusCode})`,
	),
});

const foreignAnswer = (): AttemptFailure => ({
	outcome: 'unknown',
	isStated: true,
	error: createGatewayError(
		'attempt-failed',
		'The backend server answered for another attempt; the answer was dropped',
	),
});
