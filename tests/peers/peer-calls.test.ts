import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	createPeerCalls,
	createSealer,
	type ForwardCall,
} from '../../src/peers/index.ts';
import {startMismatchedServer} from '../engines/mismatched-server.ts';
import {memberOf} from '../fixtures.ts';

const call: ForwardCall = {
	purpose: 'serve',
	requestId: 'request',
	attemptId: 'attempt-of-ours',
	attempt: 1,
	clientName: 'client',
	policyName: 'policy',
	serviceName: 'service',
	model: undefined,
	labels: {},
	requestedResidency: undefined,
	homeRegion: 'abuja',
	priority: 0,
	remainingMs: 10_000,
	isRepeatable: true,
	isStreaming: false,
	session: 'session',
	prefixKey: 'prefix',
	resumeFrom: 0,
	method: 'POST',
	url: '/v1/chat/completions',
	contentType: undefined,
	body: Buffer.from('{}'),
};

test('a complete answer of a node to another attempt is discarded', async (t: TestContext) => {
	const peerAddress = await startMismatchedServer(t);
	const calls = createPeerCalls({
		self: () => memberOf('here-1', 'here'),
		configurationVersion: () => 1,
		sealer: createSealer('key-of-these-tests'),
		translate: (address) => address,
	});
	t.after(calls.close);
	const member = memberOf('there-1', 'there', {peerAddress});
	const answers = await Promise.all(
		Array.from({length: 40}, async () =>
			calls.forward(member, call, undefined, AbortSignal.timeout(10_000)),
		),
	);
	// An error from discarding an answer would surface only after the call has ended.
	await setImmediate();
	await setImmediate();
	for (const answer of answers) {
		t.assert.strictEqual(answer.isErr && answer.error.outcome, 'unknown');
	}
});
