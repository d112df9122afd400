import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {createTRPCClient, httpLink} from '@trpc/client';
import {Agent, request, fetch as undiciFetch} from 'undici';
import {Result} from 'true-myth';
import {
	failureOf,
	attemptHeader,
	notRunHeader,
	type UpstreamAnswer,
} from '../engines/index.ts';
import {
	createGatewayError,
	errorKinds,
	type ErrorKind,
} from '../errors/index.ts';
import type {Member} from '../membership/index.ts';
import type {NodeReport} from '../reporting/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import type {ClearedRegion} from '../routing/index.ts';
import {
	createHttpAgent,
	readBody,
	discardBody,
	type Address,
} from '../shared/index.ts';
import type {ForwardCall, ForwardEnvelope} from './forward-call.ts';
import type {PeerRouter, PeerState} from './peer-router.ts';
import type {Sealer} from './seal.ts';

/**
Client for calls to other nodes.
*/
export type PeerCalls = {
	readState(
		peer: Address,
		availabilityZone: string,
	): Promise<Result<PeerState, string>>;
	readConfiguration(peer: Address): Promise<Result<string | undefined, string>>;
	readReport(peer: Address): Promise<Result<NodeReport, string>>;
	/**
	Forwards a request to a node in another zone, or to the node that issued its permit.
	*/
	forward(
		member: Member,
		call: ForwardCall,
		cleared: ClearedRegion | undefined,
		signal: AbortSignal,
	): Promise<Result<UpstreamAnswer, AttemptFailure>>;
	close(): Promise<void>;
};

/**
Options of `createPeerCalls`.
*/
export type PeerCallOptions = {
	readonly self: () => Member;
	readonly configurationVersion: () => number;
	readonly sealer: Sealer;
	readonly translate: (address: Address) => Address;
};

/**
Header with the sealed metadata of a forwarded request.
*/
export const envelopeHeader = 'x-quillford-envelope';

/**
Header with the seal that authenticates a call.
*/
export const sealHeader = 'x-quillford-seal';

/**
Header with the error kind of a refused forwarded request.
*/
export const refusalHeader = 'x-quillford-refusal';

/**
Text whose seal proves that a typed call comes from a node of this system.
*/
export const callToken = 'quillford-peer-call';

const connectTimeoutMs = 1000;
const maximumErrorBytes = 65_536;
const callTimeoutMs = 2000;

/**
Creates the client with which one node calls other nodes.
*/
export const createPeerCalls = (options: PeerCallOptions): PeerCalls => {
	const dispatcher = createHttpAgent({
		connectTimeoutMs,
		connections: 512,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	const token = options.sealer
		.seal(Buffer.from(callToken))
		.toString('base64url');

	const clientFor = (peer: Address) =>
		createTRPCClient<PeerRouter>({
			links: [
				httpLink({
					url: `http://${options.translate(peer)}/trpc`,
					headers: {[sealHeader]: token},
					fetch: async (url, init) =>
						undiciFetch(url as string, {
							...(init as Record<string, unknown>),
							dispatcher,
							signal: AbortSignal.timeout(callTimeoutMs),
						}) as never,
				}),
			],
		});

	const toResult = async <Value>(
		call: () => Promise<Value>,
	): Promise<Result<Value, string>> => {
		try {
			return Result.ok(await call());
		} catch (error) {
			return Result.err((error as Error).message);
		}
	};

	return {
		readState: async (peer, availabilityZone) =>
			toResult(
				async () =>
					clientFor(peer).state.query({availabilityZone}) as Promise<PeerState>,
			),
		readConfiguration: async (peer) =>
			toResult(async () => {
				const {text} = await clientFor(peer).configuration.query();
				return text;
			}),
		readReport: async (peer) =>
			toResult(
				async () => clientFor(peer).report.query() as Promise<NodeReport>,
			),
		async forward(member, call, _cleared, signal) {
			const {body, ...described} = call;
			const self = options.self();
			const envelope: ForwardEnvelope = {
				...described,
				origin: self.id,
				originZone: self.availabilityZone,
				configurationVersion: options.configurationVersion(),
			};
			const text = Buffer.from(JSON.stringify(envelope)).toString('base64url');
			try {
				const answer = await request(
					`http://${options.translate(member.peerAddress)}/forward`,
					{
						dispatcher,
						method: 'POST',
						headers: {
							'content-type': 'application/octet-stream',
							[envelopeHeader]: text,
							[sealHeader]: options.sealer
								.seal(Buffer.from(text))
								.toString('base64url'),
						},
						body,
						signal,
					},
				);
				return await checkAnswer(
					answer.statusCode,
					answer.headers,
					answer.body,
					call.attemptId,
				);
			} catch (error) {
				return Result.err(failureOf(error as Error));
			}
		},
		close: async () => dispatcher.destroy(),
	};
};

type AnswerBody = Readable & {json(): Promise<unknown>};

const checkAnswer = async (
	status: number,
	headers: UpstreamAnswer['headers'],
	body: AnswerBody,
	attemptId: string,
): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
	const refusal = headers[refusalHeader];
	if (typeof refusal === 'string') {
		const isNotRun = headers[notRunHeader] !== undefined;
		return Result.err(
			refusalFailure(refusal, isNotRun, await readErrorMessage(body)),
		);
	}

	if (headers[attemptHeader] !== attemptId) {
		discardBody(body);
		return Result.err({
			outcome: 'unknown',
			isStated: true,
			error: createGatewayError(
				'attempt-failed',
				'The node answered for another attempt; the answer was dropped',
			),
		});
	}

	return Result.ok({status, headers, body});
};

const readErrorMessage = async (body: AnswerBody): Promise<string> => {
	try {
		const bytes = await readBody(body, maximumErrorBytes);
		const {error} = JSON.parse(bytes.toString('utf8')) as {
			readonly error?: {readonly message?: string};
		};
		return error?.message ?? 'no reason given';
	} catch {
		return 'no reason given';
	}
};

const refusalFailure = (
	refusal: string,
	isNotRun: boolean,
	message: string,
): AttemptFailure => {
	const kind: ErrorKind =
		errorKinds.find((candidate) => candidate === refusal) ?? 'attempt-failed';
	const outcome = isNotRun ? 'not-run' : 'unknown';
	return {
		outcome,
		isStated: true,
		error: createGatewayError(kind, message, {outcome}),
	};
};
