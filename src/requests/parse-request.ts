import type {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import type {Client, Configuration, Service} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import {parseLabels, type Labels} from '../policies/index.ts';
import {resolveResidency} from '../routing/index.ts';
import {stableHash} from '../shared/index.ts';
import type {ParsedRequest} from './gateway-request.ts';
import {
	headerOf,
	pathOf,
	requestHeaders,
	type IncomingRequest,
} from './incoming-request.ts';

/**
Context in which a request is parsed.
*/
export type ParseContext = {
	readonly configuration: Configuration;
	readonly client: Client;
	/**
	Region of this node; the home region of a request that names none.
	*/
	readonly localRegion: string;
	readonly now: number;
	/**
	Issues an id for a request without one.
	*/
	readonly issueId: () => string;
};

/**
Prompts with at least this many tokens get the label `prompt-length=long`.
*/
export const longPromptTokens = 4096;

const charactersPerToken = 4;
const prefixCharacters = 2048;
const requestIdPattern = /^[\w\-.:]{1,200}$/v;
const modelPaths: ReadonlySet<string> = new Set([
	'/v1/chat/completions',
	'/v1/completions',
]);

/**
Parses and validates a request.
*/
export const parseRequest = (
	incoming: IncomingRequest,
	context: ParseContext,
): Result<ParsedRequest, GatewayError> =>
	parseTarget(incoming, context.configuration).andThen((target) => {
		const labels = parseLabels(headerOf(incoming, requestHeaders.labels));
		if (labels.isErr) {
			return Result.err(labels.error);
		}

		return parseOptions(incoming, context).map((options) => ({
			...options,
			client: context.client,
			service: target.service,
			model: target.model,
			isStreaming: target.isStreaming,
			labels: deriveLabels(labels.value, target, context.client),
			isRepeatable:
				options.isRepeatable ??
				isRepeatableByService(target.service, incoming.method),
			prefixKey: String(stableHash(target.prompt.slice(0, prefixCharacters))),
			method: incoming.method,
			url: incoming.url,
			contentType: headerOf(incoming, 'content-type'),
			body: incoming.body,
			signal: incoming.signal,
		}));
	});

type Target = {
	readonly service: Service;
	readonly model: string | undefined;
	readonly isStreaming: boolean;
	readonly prompt: string;
};

const parseTarget = (
	incoming: IncomingRequest,
	configuration: Configuration,
): Result<Target, GatewayError> => {
	const path = pathOf(incoming);
	return modelPaths.has(path)
		? parseModelCall(incoming, configuration)
		: parsePlainCall(path, configuration);
};

const parsePlainCall = (
	path: string,
	configuration: Configuration,
): Result<Target, GatewayError> => {
	const service = configuration.services
		.filter(
			(candidate) =>
				candidate.kind === 'plain' && isBelow(path, candidate.pathPrefix),
		)
		.toSorted(
			(left, right) => prefixOf(right).length - prefixOf(left).length,
		)[0];
	return service
		? Result.ok({service, model: undefined, isStreaming: false, prompt: ''})
		: Result.err(
				createGatewayError(
					'unknown-path',
					`No service answers at ${path.slice(0, 200)}`,
				),
			);
};

const prefixOf = (service: Service): string =>
	service.kind === 'plain' ? service.pathPrefix : '';

const isBelow = (path: string, prefix: string): boolean => {
	const trimmed = prefix.replace(/\/$/v, '');
	return path === trimmed || path.startsWith(`${trimmed}/`);
};

const parseModelCall = (
	incoming: IncomingRequest,
	configuration: Configuration,
): Result<Target, GatewayError> => {
	if (incoming.method !== 'POST') {
		return Result.err(
			createGatewayError('bad-request', 'Use POST for completions'),
		);
	}

	const body = parseObject(incoming.body);
	if (body === undefined) {
		return Result.err(
			createGatewayError(
				'bad-request',
				'The body cannot be parsed: send one JSON object',
			),
		);
	}

	const {model} = body;
	if (typeof model !== 'string') {
		return Result.err(
			createGatewayError(
				'bad-request',
				'Name a model: "model" must be a string',
			),
		);
	}

	const service = configuration.services.find(
		(candidate) =>
			candidate.kind === 'model' && candidate.models.includes(model),
	);
	return service
		? Result.ok({
				service,
				model,
				isStreaming: body.stream === true,
				prompt: promptOf(body),
			})
		: Result.err(
				createGatewayError(
					'unknown-model',
					`No service offers model "${model.slice(0, 100)}"; see GET /v1/models`,
				),
			);
};

const parseObject = (
	body: Buffer,
): Readonly<Record<string, unknown>> | undefined => {
	try {
		const value: unknown = JSON.parse(body.toString('utf8'));
		return typeof value === 'object' && value !== null && !Array.isArray(value)
			? (value as Record<string, unknown>)
			: undefined;
	} catch {
		return undefined;
	}
};

const promptOf = (body: Readonly<Record<string, unknown>>): string => {
	const {prompt, messages} = body;
	if (typeof prompt === 'string') {
		return prompt;
	}

	return Array.isArray(messages)
		? messages.map((message) => contentOf(message)).join('\n')
		: '';
};

const contentOf = (message: unknown): string => {
	const {content} = (message ?? {}) as {readonly content?: unknown};
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
};

const deriveLabels = (
	labels: Labels,
	target: Target,
	client: Client,
): Labels => {
	const isLong = target.prompt.length >= longPromptTokens * charactersPerToken;
	return {
		...client.labels,
		...labels,
		// Derived labels override the others, so that a caller cannot impersonate another client.
		client: client.name,
		service: target.service.name,
		...(target.model !== undefined && {
			model: target.model,
			'prompt-length': isLong ? 'long' : 'short',
		}),
	};
};

const isRepeatableByService = (service: Service, method: string): boolean => {
	switch (service.kind) {
		case 'model': {
			return service.repeatable;
		}

		case 'plain': {
			return service.repeatableMethods.includes(method);
		}
	}
};

const parseOptions = (incoming: IncomingRequest, context: ParseContext) => {
	const {configuration, client, now} = context;
	const callerId = headerOf(incoming, requestHeaders.requestId);
	if (callerId !== undefined && !requestIdPattern.test(callerId)) {
		return badRequest(
			'x-request-id must be 1 to 200 letters, digits, ".", ":", "_" or "-"',
		);
	}

	const priority = parseInteger(
		headerOf(incoming, requestHeaders.priority),
		client.priority,
		0,
		9,
	);
	if (priority === undefined) {
		return badRequest(
			'x-quillford-priority must be a whole number from 0 to 9',
		);
	}

	const remainingMs = parseInteger(
		headerOf(incoming, requestHeaders.deadline),
		configuration.timing.requestTimeoutMs,
		1,
		maximumDeadlineMs,
	);
	if (remainingMs === undefined) {
		return badRequest(
			`x-quillford-deadline-ms must be a whole number from 1 to ${maximumDeadlineMs}`,
		);
	}

	const repeatable = headerOf(incoming, requestHeaders.repeatable);
	if (
		repeatable !== undefined &&
		repeatable !== 'true' &&
		repeatable !== 'false'
	) {
		return badRequest('x-quillford-repeatable must be "true" or "false"');
	}

	const claim = {requested: parseRegions(incoming), client};
	return resolveResidency(claim, configuration).andThen((residency) => {
		const home = headerOf(incoming, requestHeaders.home);
		if (
			home !== undefined &&
			configuration.regions.every(({name}) => name !== home)
		) {
			return badRequest(
				`x-quillford-home names region "${home.slice(0, 100)}", which is not configured`,
			);
		}

		// A request that may be served in one region only has its home there, whichever node receives it.
		const onlyRegion =
			residency.kind === 'regions' && residency.regions.length === 1
				? residency.regions[0]
				: undefined;
		return Result.ok({
			requestId: callerId ?? context.issueId(),
			claim,
			homeRegion: home ?? onlyRegion ?? context.localRegion,
			priority,
			deadline: now + remainingMs,
			isRepeatable:
				repeatable === undefined ? undefined : repeatable === 'true',
			session: headerOf(incoming, requestHeaders.session) ?? '',
		});
	});
};

const maximumDeadlineMs = 3_600_000;

const badRequest = (message: string) =>
	Result.err<never, GatewayError>(createGatewayError('bad-request', message));

const parseInteger = (
	text: string | undefined,
	fallback: number,
	minimum: number,
	maximum: number,
): number | undefined => {
	if (text === undefined) {
		return fallback;
	}

	const value = Number(text);
	return /^\d+$/v.test(text) && value >= minimum && value <= maximum
		? value
		: undefined;
};

const parseRegions = (
	incoming: IncomingRequest,
): readonly string[] | undefined =>
	headerOf(incoming, requestHeaders.residency)
		?.split(',')
		.map((region) => region.trim())
		.filter((region) => region !== '');
