import type {Buffer} from 'node:buffer';
import {Agent, request, type Dispatcher} from 'undici';
import {Result} from 'true-myth';
import {z} from 'zod';
import {createGatewayError} from '../errors/index.ts';
import type {LoadReport} from '../fleet/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import type {ClearedRegion} from '../routing/index.ts';
import {
	discardBody,
	createHeaderReader,
	createHttpAgent,
	readBody,
	type Address,
} from '../shared/index.ts';
import {withdrawnCode, withdrawUnless} from './withdraw-unless.ts';

/**
A request to a backend server.
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
	Identifies this attempt; the server echoes the id in its answer.
	*/
	readonly attemptId: string;
	readonly priority: number;
	/**
	Number of tokens that the caller has already received; the server resumes after them.
	*/
	readonly resumeFrom: number;
	readonly signal: AbortSignal;
	/**
	Called immediately before the first byte is written, because the call may have waited for a connection. If it returns
	false, nothing is sent.
	*/
	readonly canBegin: () => boolean;
	/**
	Called with the head of each answer of the server, whether or not the answer is accepted.
	*/
	readonly onHead: (head: EngineHead) => void;
};

/**
The status and headers of an answer of a backend server.
*/
export type EngineHead = {
	readonly status: number;
	readonly header: (name: string) => string | undefined;
};

/**
An answer whose body is streamed as it arrives.
*/
export type UpstreamAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: AsyncIterable<Buffer>;
};

/**
A load report with the shutdown state of the server and the age of the report.
*/
export type EngineStatus = LoadReport & {
	readonly isLeaving: boolean;
	readonly ageMs: number;
};

/**
The state of the process at the address of an engine.
*/
export type EngineProcessState =
	| {
			readonly kind: 'running';
			/**
			Identifies the engine process.
			*/
			readonly incarnation: string;
	  }
	/**
	The connection was refused: no process listens at the address.
	*/
	| {readonly kind: 'gone'}
	/**
	The state is unknown because the process gave no valid answer.
	*/
	| {readonly kind: 'silent'};

type ReadFailure = {
	/**
	Whether the connection was refused because no process listens at the address.
	*/
	readonly isRefused: boolean;
	readonly reason: string;
};

/**
 Client for backend servers: model engines and plain services.
 
 Each request requires a `ClearedRegion` as proof that residency was checked for the region of the server.
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
	Determines the current state of the process at an address.
	*/
	readProcessState(address: Address): Promise<EngineProcessState>;
	close(): Promise<void>;
};

/**
Header by which a backend server states that it did not start a request.
*/
export const notRunHeader = 'x-not-run';

/**
Header by which an overloaded backend server states its rate limit: the requests per second, a decimal number, that it
accepts from all nodes together.
*/
export const limitHeader = 'x-requests-per-second';

/**
Header by which a backend server states how many requests per second, a decimal number, it can refuse for lack of capacity
before it fails.
*/
export const refusalLimitHeader = 'x-refusals-per-second';

/**
Header by which a backend server announces its shutdown: `1`.
*/
export const leavingHeader = 'x-leaving';

/**
Header by which a backend server states the version of its software in its answers. Optional; versions have no order.
*/
export const softwareVersionHeader = 'x-software-version';

/**
Header with the attempt id, in requests to a backend server and in its answers.
*/
export const attemptHeader = 'x-attempt-id';

/**
Returns the version of the software that a backend server states in an answer.
*/
export const softwareVersionOf = ({
	headers,
}: Pick<UpstreamAnswer, 'headers'>): string | undefined => {
	const version = headers[softwareVersionHeader];
	return typeof version === 'string' ? version : undefined;
};

const statusSchema = z.object({
	running: z.number(),
	queued: z.number(),
	slots: z.number(),
	incarnation: z.string(),
	isLeaving: z.boolean().default(false),
	ageMs: z.number().default(0),
});

const connectionRefusedCode = 'ECONNREFUSED';
const connectTimeoutMs = 1000;
const statusTimeoutMs = 1000;
const maximumStatusBytes = 1_048_576;

/**
Creates a client with its own connection pool.
*/
export const createEngineClient = (
	translate: (address: Address) => Address,
): EngineClient => {
	const dispatcher = createHttpAgent({
		connectTimeoutMs,
		connections: 512,
		// The pool sets no time limits because requests are aborted at their deadlines, and long streams are legitimate.
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
			onHead(responseHeadOf(answer));
			const bytes = await readBody(answer.body, maximumStatusBytes);
			const parsed = schema.safeParse(JSON.parse(bytes.toString('utf8')));
			return parsed.success
				? Result.ok<Body, ReadFailure>(parsed.data)
				: Result.err<Body, ReadFailure>({
						isRefused: false,
						reason: `the answer cannot be read: ${parsed.error.message}`,
					});
		} catch (error) {
			const {code, message} = error as NodeJS.ErrnoException;
			const isRefused = code === connectionRefusedCode;
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
				call.onHead(responseHeadOf(answer));
				return await checkAnswer(answer, call.attemptId);
			} catch (error) {
				return Result.err(failureOf(error as Error));
			}
		},
		async readStatus(address, onHead) {
			const status = await readJson(address, '/load', statusSchema, onHead);
			return status.mapErr(({reason}) => reason);
		},
		async readProcessState(address) {
			const status = await readJson(address, '/load', statusSchema);
			return status.isOk
				? {kind: 'running', incarnation: status.value.incarnation}
				: {kind: status.error.isRefused ? 'gone' : 'silent'};
		},
		close: async () => dispatcher.destroy(),
	};
};

/**
 Maps a connection error to an attempt failure.
 
 Only an error that occurs before the first byte is sent proves that the request did not run.
 */
export const failureOf = (error: Error): AttemptFailure => {
	const code = (error as NodeJS.ErrnoException).code ?? '';
	if (code === withdrawnCode) {
		return withdrawnFailure();
	}

	const isNotSent = notSentCodes.has(code);
	return {
		isStated: false,
		outcome: isNotSent ? 'not-run' : 'unknown',
		error: createGatewayError(
			'attempt-failed',
			isNotSent
				? 'The backend server could not be reached'
				: `The connection failed (${code === '' ? error.name : code})`,
			{outcome: isNotSent ? 'not-run' : 'unknown'},
		),
	};
};

const withdrawnFailure = (): AttemptFailure => ({
	outcome: 'not-run',
	isStated: false,
	isWithdrawn: true,
	error: createGatewayError(
		'overloaded',
		'The request was withdrawn before it was sent: the backend server leaves or rests, or the node was paused',
	),
});

const responseHeadOf = ({
	statusCode,
	headers,
}: Dispatcher.ResponseData): EngineHead => ({
	status: statusCode,
	header: createHeaderReader(headers),
});

const notSentCodes: ReadonlySet<string> = new Set([
	connectionRefusedCode,
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const checkAnswer = async (
	answer: Dispatcher.ResponseData,
	attemptId: string,
): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
	if (answer.headers[notRunHeader] !== undefined) {
		await answer.body.dump();
		return Result.err(refusalFailure(answer));
	}

	if (answer.headers[attemptHeader] !== attemptId) {
		discardBody(answer.body);
		return Result.err(mismatchedAnswerFailure());
	}

	return Result.ok({
		status: answer.statusCode,
		headers: answer.headers,
		body: answer.body,
	});
};

const refusalFailure = ({
	statusCode,
}: Dispatcher.ResponseData): AttemptFailure => ({
	outcome: 'not-run',
	isStated: true,
	error: createGatewayError(
		'overloaded',
		`The backend server refused the request (status ${statusCode})`,
	),
});

const mismatchedAnswerFailure = (): AttemptFailure => ({
	outcome: 'unknown',
	isStated: true,
	error: createGatewayError(
		'attempt-failed',
		'The backend server answered for another attempt; the answer was dropped',
	),
});
