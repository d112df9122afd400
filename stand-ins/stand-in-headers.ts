import type {WireHeaders} from '../src/gateway/index.ts';

/**
Header names that simulated deployments use.
*/
export const standInHeaders: WireHeaders = {
	requestId: 'x-test-id',
	remainingMs: 'x-test-remaining',
	signature: 'x-test-signature',
	expectedServer: 'x-test-expected',
	notRun: 'x-test-not-run',
	continuedRequestId: 'x-test-continues',
	promptParts: 'x-test-parts',
	tokenUsage: 'x-test-tokens',
	lengthHint: 'x-test-expected-tokens',
	load: 'x-test-load',
	limit: 'x-test-limit',
	refusalLimit: 'x-test-refusal-limit',
	leaving: 'x-test-leaving',
	urgency: 'x-test-urgency',
	coldMs: 'x-test-cold',
	serverId: 'x-test-server',
	clientKey: 'x-test-key',
	client: 'x-test-client',
	reserved: ['x-test-reserved'],
};
