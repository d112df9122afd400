import type {BackendCall} from '../engines/index.ts';
import type {ForwardCall} from '../peers/index.ts';
import type {AttemptPlan} from './attempt.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Builds the call to a backend server for an attempt.
*/
export const backendCall = (
	{request, attemptId, resumeFrom}: AttemptPlan,
	signal: AbortSignal,
	guards: Pick<BackendCall, 'canBegin' | 'onHead'>,
): BackendCall => ({
	...guards,
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
Fields of a forwarded call that describe the attempt rather than the request.
*/
export type ForwardDetails = Pick<
	ForwardCall,
	'purpose' | 'attemptId' | 'attempt' | 'resumeFrom'
>;

/**
Builds the call that forwards a request to another node.
*/
export const forwardCall = (
	request: GatewayRequest,
	details: ForwardDetails,
	now: number,
): ForwardCall => ({
	...details,
	requestId: request.requestId,
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
	method: request.method,
	url: request.url,
	contentType: request.contentType,
	body: request.body,
});
