import type {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import type {Configuration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {ForwardEnvelope} from '../peers/index.ts';
import {guardResidency} from '../routing/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
What a receiver checks a forwarded request against: its own state, not the sender's.
*/
export type ReceivingContext = {
	readonly configuration: Configuration | undefined;
	readonly localRegion: string;
	readonly now: number;
	readonly signal: AbortSignal;
	/**
	Remembers an attempt; false if it was seen before.
	*/
	readonly isFirstDelivery: (attemptId: string) => boolean;
};

/**
 Rebuilds a forwarded request by the receiver's own configuration.
 
 A forged or repeated forward, an account, policy or service that is not known here, and
 a residency that does not allow this region all refuse it before anything runs.
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
				'The forward is not sealed by a node of this system',
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
		// The first delivery may have run, so this one must not claim that nothing did.
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
Remembers the attempts received lately, so that none is run twice.
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
