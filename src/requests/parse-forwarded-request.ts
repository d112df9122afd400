import type {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import type {Configuration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {ForwardEnvelope} from '../peers/index.ts';
import {guardResidency} from '../routing/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
State of the receiving node against which a forwarded request is checked.
*/
export type ReceivingContext = {
	readonly configuration: Configuration | undefined;
	readonly localRegion: string;
	readonly now: number;
	readonly signal: AbortSignal;
	/**
	Records an attempt id; returns false if it was received before.
	*/
	readonly isFirstDelivery: (attemptId: string) => boolean;
};

/**
 Rebuilds a forwarded request with the receiver's configuration.
 
 Rejects it before anything runs if the envelope is forged or repeated, if the account,
 policy or service is unknown here, or if its residency does not allow this region.
 */
export const parseForwardedRequest = (
	envelope: ForwardEnvelope | undefined,
	body: Buffer,
	context: ReceivingContext,
): Result<GatewayRequest, GatewayError> => {
	const {configuration} = context;
	if (!envelope) {
		return Result.err(
			createGatewayError(
				'hop-refused',
				'The forwarded request is not sealed by a node of this deployment',
			),
		);
	}

	if (!configuration) {
		return Result.err(
			createGatewayError(
				'not-ready',
				'The receiving node has no configuration yet',
			),
		);
	}

	if (!context.isFirstDelivery(envelope.attemptId)) {
		// The first delivery may have run, so the outcome of this one is not `not-run`.
		return Result.err(
			createGatewayError('hop-refused', 'The attempt was received before', {
				outcome: 'unknown',
			}),
		);
	}

	return rebuild(envelope, body, configuration, context);
};

const rebuild = (
	envelope: ForwardEnvelope,
	body: Buffer,
	configuration: Configuration,
	context: ReceivingContext,
): Result<GatewayRequest, GatewayError> => {
	const client = configuration.clients.find(
		({name}) => name === envelope.clientName,
	);
	const service = configuration.services.find(
		({name}) => name === envelope.serviceName,
	);
	const policy = configuration.policies.find(
		({name}) => name === envelope.policyName,
	);
	if (!client || !service || !policy) {
		return Result.err(
			createGatewayError(
				'hop-refused',
				'The receiving node does not know the client, service or policy',
			),
		);
	}

	const claim = {requested: envelope.requestedResidency, client};
	if (envelope.purpose === 'serve') {
		const guard = guardResidency(claim, context.localRegion, configuration);
		if (guard.isErr) {
			return Result.err(guard.error);
		}
	}

	return Result.ok({
		requestId: envelope.requestId,
		client,
		service,
		policy,
		model: envelope.model,
		isStreaming: envelope.isStreaming,
		labels: envelope.labels,
		claim,
		homeRegion: envelope.homeRegion,
		priority: envelope.priority,
		deadline: context.now + envelope.remainingMs,
		isRepeatable: envelope.isRepeatable,
		session: envelope.session,
		prefixKey: envelope.prefixKey,
		method: envelope.method,
		url: envelope.url,
		contentType: envelope.contentType,
		body,
		signal: context.signal,
	});
};

/**
Remembers recently received attempt ids, so that no attempt runs twice.

@param maximum Ids per generation; the latest generation and the one before it are kept.
*/
export const createSeenAttempts = (maximum = 100_000) => {
	let recent = new Set<string>();
	let older = new Set<string>();
	return (attemptId: string): boolean => {
		if (recent.has(attemptId) || older.has(attemptId)) {
			return false;
		}

		recent.add(attemptId);
		if (recent.size >= maximum) {
			older = recent;
			recent = new Set();
		}

		return true;
	};
};
