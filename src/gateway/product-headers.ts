import type {WireHeaders} from './wire-headers.ts';

/**
Header names of a gateway whose callers and backend servers use the project's default names.
*/
export const productHeaders: WireHeaders = {
	requestId: 'x-gateway-request-id',
	remainingMs: 'x-gateway-remaining-ms',
	signature: 'x-gateway-answer-signature',
	expectedServer: 'x-gateway-expected-server',
	notRun: 'x-gateway-not-run',
	continuedRequestId: 'x-gateway-continues',
	promptParts: 'x-gateway-prompt-parts',
	tokenUsage: 'x-gateway-tokens',
	lengthHint: 'x-gateway-expected-tokens',
	load: 'x-gateway-server-load',
	limit: 'x-gateway-limit',
	refusalLimit: 'x-gateway-refusal-limit',
	leaving: 'x-gateway-leaving',
	urgency: 'x-gateway-urgency',
	coldMs: 'x-gateway-cold-ms',
	serverId: 'x-gateway-server-id',
	clientKey: 'x-gateway-client-key',
	client: 'x-gateway-client',
	reserved: ['x-gateway-urgency'],
};
