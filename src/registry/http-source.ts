/**
Reads a registry over HTTP, in the project's own format. `GET /snapshot` returns all items. `GET
/changes?after=REVISION&wait=MILLISECONDS` returns the changes after a revision; it is a long poll, and answers 410 if
that part of the history is gone. A value that cannot be decoded becomes an `unreadable` item and is logged.
*/
import {request} from 'undici';
import {z} from 'zod';
import {limitUnits} from '../clients/index.ts';
import type {Logger} from '../logging/index.ts';
import {routeKinds} from '../routes/index.ts';
import {
	createHttpAgent,
	isAddress,
	maximumStateBytes,
	readBody,
	type Address,
} from '../shared/index.ts';
import type {
	RegistryAnswer,
	RegistryItem,
	RegistrySource,
} from './registry-entry.ts';

/**
HTTP paths of a registry.
*/
export const registryPaths = {
	snapshot: '/snapshot',
	changes: '/changes',
} as const;

/**
Timeout of a request to the registry beyond the time for which the registry may hold it, in milliseconds.
*/
export const registryTimeoutMs = 700;

const gone = 410;

const serverSchema = z.strictObject({
	id: z.string().min(1),
	service: z.string(),
	softwareVersion: z
		.string()
		.optional()
		.transform((softwareVersion) => softwareVersion),
	address: z.string().refine((text) => isAddress(text)),
	availabilityZone: z.string(),
	slots: z.number().positive(),
	isLeaving: z.boolean(),
	coldMs: z.number().nonnegative(),
	startedAt: z
		.number()
		.nonnegative()
		.optional()
		.transform((startedAt) => startedAt),
	sequence: z
		.number()
		.nonnegative()
		.optional()
		.transform((sequence) => sequence),
});

const routeSchema = z.strictObject({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string().startsWith('/').endsWith('/'),
	kind: z.enum(routeKinds),
	services: z
		.array(z.strictObject({service: z.string(), weight: z.number().positive()}))
		.min(1),
	timeoutMs: z.number().positive(),
	targetLatencyMs: z.number().positive(),
	priority: z.number().nonnegative(),
	maximumAttempts: z.number().positive(),
	isResumable: z.boolean(),
	isSticky: z.boolean(),
	homeRegions: z.array(z.string()),
	isPublic: z.boolean().default(false),
});

const clientSchema = z.strictObject({
	name: z.string().min(1),
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v)),
	priority: z.number().nonnegative().default(0),
	homeRegions: z.array(z.string()).default([]),
	limit: z
		.strictObject({
			unit: z.enum(limitUnits),
			perSecond: z.number().positive(),
			burst: z.number().nonnegative().default(0),
			plainTokens: z.number().nonnegative().default(0),
		})
		.optional()
		.transform((limit) => limit),
});

const serviceSchema = z.strictObject({
	name: z.string(),
	healthPath: z.string(),
	maximumConnections: z.number().nonnegative(),
	coldRequestsPerSecond: z.number().nonnegative(),
	engine: z
		.strictObject({slots: z.number(), memoryTokens: z.number()})
		.optional()
		.transform((engine) => engine),
});

const documentSchema = z.strictObject({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	limits: z.strictObject({
		maximumHeaderBytes: z.number().positive(),
		maximumBodyBytes: z.number().positive(),
		headerTimeoutMs: z.number().positive(),
		idleTimeoutMs: z.number().positive(),
	}),
	clients: z
		.array(clientSchema)
		.optional()
		.transform((clients) => clients),
});

const valueSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('server'), server: serverSchema}),
	z.strictObject({kind: z.literal('routes'), document: documentSchema}),
	z.strictObject({
		kind: z.literal('evacuation'),
		availabilityZone: z.string(),
	}),
]);

const answerSchema = z.object({
	era: z.int().nonnegative().optional(),
	revision: z.number(),
	items: z.array(
		z.object({
			key: z.string(),
			revision: z.number(),
			value: z.unknown().optional(),
		}),
	),
});

type RawItem = z.infer<typeof answerSchema>['items'][number];

/**
Creates the source. Its calls never reject: errors become `unavailable` answers.
*/
export const createHttpRegistrySource = (
	address: Address,
	logger: Logger,
): RegistrySource => {
	const dispatcher = createHttpAgent({
		connectTimeoutMs: registryTimeoutMs,
		connections: 2,
	});

	const read = async (
		kind: 'changes' | 'snapshot',
		target: string,
		waitMs: number,
	): Promise<RegistryAnswer> => {
		const {statusCode, body} = await request(`http://${address}${target}`, {
			dispatcher,
			signal: AbortSignal.timeout(waitMs + registryTimeoutMs),
		});
		const bytes = await readBody(body, maximumStateBytes);
		if (statusCode === gone) {
			return {kind: 'history-lost'};
		}

		if (statusCode !== 200) {
			const reason = `the registry answered ${statusCode}`;
			return {kind: 'unavailable', reason};
		}

		const {era, revision, items} = answerSchema.parse(
			JSON.parse(bytes.toString('utf8')),
		);
		return {kind, era, revision, items: decodeItems(items, logger)};
	};

	const guarded = async (
		...call: Parameters<typeof read>
	): Promise<RegistryAnswer> => {
		try {
			return await read(...call);
		} catch (error) {
			return {kind: 'unavailable', reason: (error as Error).message};
		}
	};

	return {
		snapshot: async () => guarded('snapshot', registryPaths.snapshot, 0),
		changes: async (after, waitMs) =>
			guarded(
				'changes',
				`${registryPaths.changes}?after=${after}&wait=${waitMs}`,
				waitMs,
			),
		close: async () => dispatcher.destroy(),
	};
};

const decodeItems = (
	items: readonly RawItem[],
	logger: Logger,
): readonly RegistryItem[] => items.map((item) => decodeItem(item, logger));

const decodeItem = (
	{key, revision, value}: RawItem,
	logger: Logger,
): RegistryItem => {
	if (value === undefined || value === null) {
		return {key, revision, value: undefined};
	}

	const read = valueSchema.safeParse(value);
	if (read.success) {
		return {key, revision, value: read.data};
	}

	const reason = z.prettifyError(read.error).slice(0, 300);
	logger.warn({key, revision, reason}, 'registry item cannot be read');
	return {key, revision, value: {kind: 'unreadable'}};
};
