import {z} from 'zod';
import {isAddress} from '../shared/index.ts';

/**
Maximum size of a document that the configuration service stores, in bytes.
*/
export const maximumDocumentBytes = 1_048_576;

const labels = z.record(z.string().max(63), z.string().max(63)).default({});
const name = z
	.string()
	.regex(
		/^[\da-z][\d\-.a-z]{0,62}$/v,
		'use lower-case letters, digits, "." and "-", at most 63 characters',
	);

const expression = z.discriminatedUnion('operator', [
	z.strictObject({
		operator: z.literal('In'),
		key: z.string(),
		values: z.array(z.string()).min(1),
	}),
	z.strictObject({
		operator: z.literal('NotIn'),
		key: z.string(),
		values: z.array(z.string()).min(1),
	}),
	z.strictObject({operator: z.literal('Exists'), key: z.string()}),
	z.strictObject({operator: z.literal('DoesNotExist'), key: z.string()}),
]);

const selector = z.strictObject({
	matchLabels: labels,
	matchExpressions: z.array(expression).default([]),
});

const emptySelector = {matchLabels: {}, matchExpressions: []};

const strategy = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('round-robin')}),
	z.strictObject({kind: z.literal('least-loaded')}),
	z.strictObject({kind: z.literal('power-of-two')}),
	z.strictObject({
		kind: z.literal('prefix-affinity'),
		loadBound: z.number().min(1).max(10).default(1.5),
	}),
	z.strictObject({
		kind: z.literal('cheapest'),
		firstTokenObjectiveMs: z.number().positive(),
	}),
	z.strictObject({
		kind: z.literal('home-first'),
		overflowAtLoad: z.number().min(0).max(4).default(0.9),
		advantage: z.number().min(1).max(10).default(1.5),
		maximumAwayShare: z.number().min(0).max(1).default(0.5),
	}),
]);

const region = z.strictObject({
	name,
	labels,
	availabilityZones: z.array(name).min(1),
});

const model = z.strictObject({name, labels});

const modelService = z.strictObject({
	kind: z.literal('model'),
	name,
	models: z.array(name).min(1),
	repeatable: z.boolean().default(true),
});

const plainService = z.strictObject({
	kind: z.literal('plain'),
	name,
	pathPrefix: z.string().regex(/^\/[\w\-\/]*$/v, 'must begin with "/"'),
	repeatableMethods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS']),
});

const backendServer = z.strictObject({
	id: name,
	service: name,
	availabilityZone: name,
	address: z
		.string()
		.refine(
			isAddress,
			'must be an IP address and a port, such as 10.0.0.7:8000',
		),
	labels,
	slots: z.number().int().positive().max(10_000),
	costPerThousandTokens: z.number().min(0).default(1),
	checksFence: z.boolean().default(false),
});

const client = z.strictObject({
	name,
	keySha256: z
		.string()
		.regex(/^[\da-f]{64}$/v, 'must be a SHA-256 digest: 64 hexadecimal digits'),
	labels,
	requestsPerSecond: z.number().positive().default(100),
	burst: z.number().positive().default(200),
	priority: z.number().int().min(0).max(9).default(5),
	residency: z.array(name).min(1).optional(),
	residencyRequired: z.boolean().default(false),
});

const schedule = z.strictObject({
	days: z
		.array(z.enum(['mon', 'tue', 'wed', 'thu', 'fri', 'sat', 'sun']))
		.min(1)
		.optional(),
	fromHourUtc: z.number().min(0).max(24).default(0),
	untilHourUtc: z.number().min(0).max(24).default(24),
});

const slice = z.strictObject({
	salt: z.string().default(''),
	fromPercent: z.number().min(0).max(100),
	untilPercent: z.number().min(0).max(100),
});

const policy = z.strictObject({
	name,
	priority: z.number().int().default(0),
	requests: selector.default(emptySelector),
	regions: selector.default(emptySelector),
	backendServers: selector.default(emptySelector),
	slice: slice.optional(),
	schedule: schedule.optional(),
	strategy,
});

const objective = z.strictObject({
	name,
	requests: selector.default(emptySelector),
	kind: z.enum(['availability', 'first-token']),
	target: z.number().gt(0).lt(1),
	thresholdMs: z.number().positive().optional(),
});

const timing = z.strictObject({
	betweenRegionsMs: z.number().min(0).default(60),
	firstTokenMs: z.number().min(0).default(30),
	perTokenMs: z.number().min(0).default(10),
	requestTimeoutMs: z.number().positive().default(30_000),
});

/**
Schema of the configuration document that operators write.
*/
export const configurationSchema = z.strictObject({
	version: z.number().int().positive(),
	regions: z.array(region).min(1),
	models: z.array(model).default([]),
	services: z
		.array(z.discriminatedUnion('kind', [modelService, plainService]))
		.min(1),
	backendServers: z.array(backendServer).default([]),
	clients: z.array(client).min(1),
	policies: z.array(policy).min(1),
	objectives: z.array(objective).default([]),
	timing: timing.prefault({}),
});
