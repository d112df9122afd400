import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {Result} from 'true-myth';
import {z} from 'zod';
import {maximumDocumentBytes} from '../configuration/index.ts';
import {
	createHttpAgent,
	readBody,
	tooLongCode,
	type Address,
} from '../shared/index.ts';

/**
Reason why a read from the platform failed.
*/
export type PlatformFault = {
	readonly kind: 'unreachable' | 'refused' | 'malformed' | 'too-large';
	readonly message: string;
};

/**
A document of the configuration service, or the information that there is no newer one.
*/
export type ConfigurationRead =
	| {readonly kind: 'document'; readonly text: string}
	| {readonly kind: 'unchanged'};

/**
An entry of the platform's VM list.
*/
export type VmListEntry = z.output<typeof listedVm>;

/**
A model version in the weight store.
*/
export type StoredWeights = z.output<typeof storedWeights>;

/**
Read-only client of the platform services.

Only this module depends on the platform's protocol. A deployment with another protocol provides its
own client with the same four calls.
*/
export type PlatformClient = {
	/**
	Waits up to `waitMs` for a document newer than `after`. Each call adds to the request load of the service.
	*/
	readConfiguration(
		after: number,
		waitMs: number,
	): Promise<Result<ConfigurationRead, PlatformFault>>;
	readVmList(): Promise<Result<readonly VmListEntry[], PlatformFault>>;
	readDirectory(): Promise<Result<readonly string[], PlatformFault>>;
	readWeights(): Promise<Result<readonly StoredWeights[], PlatformFault>>;
	close(): Promise<void>;
};

const listedVm = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('entry'),
		id: z.string(),
		availabilityZone: z.string(),
		state: z.enum(['live', 'leaving']),
		incarnation: z.number().default(0),
		peerAddress: z.string(),
		callerAddress: z.string(),
	}),
	z.object({
		kind: z.literal('backendServer'),
		id: z.string(),
		availabilityZone: z.string(),
		state: z.enum(['live', 'leaving']),
		/**
		Identifies the server process that the entry applies to; without it the entry applies to any process.
		*/
		incarnation: z.string().optional(),
	}),
]);

const storedWeights = z.object({
	model: z.string(),
	version: z.string(),
	bytes: z.number(),
});
const vmListBody = z.object({vms: z.array(listedVm)});
const directoryBody = z.object({entryVms: z.array(z.string())});
const weightsBody = z.object({weights: z.array(storedWeights)});

const responseTimeoutMs = 2000;
// Room for a document that is too large to be accepted, so that its size can be reported.
const maximumBodyBytes = 2 * maximumDocumentBytes;

/**
Creates a client of the platform services at an address.
*/
export const createPlatformClient = (address: Address): PlatformClient => {
	const dispatcher = createHttpAgent({
		connectTimeoutMs: responseTimeoutMs,
	});
	const base = `http://${address}`;

	const get = async (
		path: string,
		waitMs = 0,
	): Promise<Result<{status: number; text: string}, PlatformFault>> => {
		try {
			const answer = await request(base + path, {
				dispatcher,
				signal: AbortSignal.timeout(responseTimeoutMs + waitMs),
			});
			const bytes = await readBody(answer.body, maximumBodyBytes);
			return Result.ok({
				status: answer.statusCode,
				text: bytes.toString('utf8'),
			});
		} catch (error) {
			const {code, message} = error as NodeJS.ErrnoException;
			const kind = code === tooLongCode ? 'too-large' : 'unreachable';
			return Result.err({kind, message});
		}
	};

	const getParsed = async <Body>(
		path: string,
		schema: z.ZodType<Body>,
	): Promise<Result<Body, PlatformFault>> => {
		const answer = await get(path);
		return answer.andThen(({status, text}) => parseBody(status, text, schema));
	};

	return {
		async readConfiguration(after, waitMs) {
			const answer = await get(
				`/v1/configuration?after=${after}&waitMs=${waitMs}`,
				waitMs,
			);
			return answer.andThen(({status, text}) => {
				if (status === 204) {
					return Result.ok<ConfigurationRead, PlatformFault>({
						kind: 'unchanged',
					});
				}

				return status === 200
					? Result.ok<ConfigurationRead, PlatformFault>({
							kind: 'document',
							text,
						})
					: Result.err<ConfigurationRead, PlatformFault>(refusedFault(status));
			});
		},
		async readVmList() {
			const read = await getParsed('/v1/vms', vmListBody);
			return read.map(({vms}) => vms);
		},
		async readDirectory() {
			const read = await getParsed('/v1/directory', directoryBody);
			return read.map(({entryVms}) => entryVms);
		},
		async readWeights() {
			const read = await getParsed('/v1/weights', weightsBody);
			return read.map(({weights}) => weights);
		},
		close: async () => dispatcher.destroy(),
	};
};

const parseBody = <Body>(
	status: number,
	text: string,
	schema: z.ZodType<Body>,
): Result<Body, PlatformFault> => {
	if (status !== 200) {
		return Result.err(refusedFault(status));
	}

	try {
		const parsed = schema.safeParse(JSON.parse(text));
		return parsed.success
			? Result.ok(parsed.data)
			: Result.err({kind: 'malformed', message: parsed.error.message});
	} catch (error) {
		return Result.err({kind: 'malformed', message: (error as Error).message});
	}
};

const refusedFault = (status: number): PlatformFault => ({
	kind: 'refused',
	message: `platform answered with status ${status}`,
});
