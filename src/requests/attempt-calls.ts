import type {BackendCall} from '../engines/index.ts';
import type {ForwardCall} from '../peers/index.ts';
import type {AttemptPlan} from './attempt.ts';

/**
An attempt as a call to a backend server.
*/
export const backendCall = (
	{request, attemptId, resumeFrom}: AttemptPlan,
	signal: AbortSignal,
): BackendCall => ({
	method: request.method,
	path: request.url,
	headers: {
		'x-request-id': request.requestId,
		...(request.contentType !== undefined && {
			'content-type': request.contentType,
		}),
	},
	body: request.body,
	attemptId,
	priority: request.priority,
	resumeFrom,
	signal,
});

/**
An attempt as a call to a node of another zone.
*/
export const forwardCall = (
	{request, progress, attemptId, resumeFrom}: AttemptPlan,
	now: number,
): ForwardCall => ({
	purpose: 'serve',
	requestId: request.requestId,
	attemptId,
	attempt: progress.attempts,
	clientName: request.client.name,
	policyName: request.policy.name,
	serviceName: request.service.name,
	model: request.model,
	labels: request.labels,
	requestedResidency: request.claim.requested,
	homeRegion: request.homeRegion,
	priority: request.priority,
	remainingMs: Math.max(1, Math.round(request.deadline - now)),
	isRepeatable: request.isRepeatable,
	isStreaming: request.isStreaming,
	session: request.session,
	prefixKey: request.prefixKey,
	resumeFrom,
	method: request.method,
	url: request.url,
	contentType: request.contentType,
	body: request.body,
});
