import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	type UpstreamFailure,
	type UpstreamListener,
} from '../../../src/backends/index.ts';
import {createServerProbes} from '../../../src/gateway/delivery/index.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import {noStatements} from '../../../src/server-statements/index.ts';
import {fleetOptionsOf, knownServerOf, names} from '../fixtures.ts';

// Sends a health check to a server.
const probeServer = () => {
	const fleet = createBackendFleet(fleetOptionsOf());
	fleet.sync(new Map([['a', knownServerOf('a', 1)]]), 0);
	let listener: UpstreamListener | undefined;
	let isAborted = false;
	const probes = createServerProbes({
		client: {
			call(_call, received) {
				listener = received;
				return {
					abort() {
						isAborted = true;
					},
					resume: () => undefined,
				};
			},
			forget: () => undefined,
			connectionsOpened: () => 0,
			hasIdleConnection: () => false,
			close: async () => undefined,
		},
		fleet,
		headers: names,
		clock: () => 0,
		logger: silentLogger,
		healthPath: () => '/health',
		onGone: () => undefined,
		onAlive: () => undefined,
		backendLimits: {recordSend: () => undefined},
		backoffs: {remainingMs: () => 0},
		slotLeases: {
			isRequired: () => false,
			availability: () => 'ready',
			requestForProbe: () => undefined,
			recordSend: () => undefined,
			recordEnd: () => undefined,
		},
		statements: {handle: () => noStatements},
	});
	probes.probeNow('a');
	return {fleet, listener: listener!, isAborted: () => isAborted};
};

// Ends a health check with a failure, and returns what is believed of the server then.
const suspicionAfter = (failure: Omit<UpstreamFailure, 'reason'>) => {
	const {fleet, listener} = probeServer();
	listener.onFailure({...failure, reason: 'failed'});
	return fleet.suspicionOf('a');
};

// Guards against servers that keep a node busy with the bodies of their health checks.
test('a health check with a long body ends early', (t: TestContext) => {
	const {listener, isAborted} = probeServer();
	const chunk = Buffer.alloc(32_768);
	listener.onHead({status: 200, header: () => undefined, rawHeaders: []});
	listener.onData(chunk);
	listener.onData(chunk);
	t.assert.ok(!isAborted());
	listener.onData(chunk);
	t.assert.ok(isAborted());
});

test('a health check that cannot connect makes a server unreachable; one that was withdrawn, that this node cannot send or that broke off does not', (t: TestContext) => {
	t.assert.strictEqual(suspicionAfter({wasSent: false}), 'unreachable');
	t.assert.strictEqual(
		suspicionAfter({wasSent: false, isWithdrawn: true}),
		undefined,
	);
	t.assert.strictEqual(
		suspicionAfter({wasSent: false, isUnsendable: true}),
		undefined,
	);
	t.assert.strictEqual(suspicionAfter({wasSent: true}), undefined);
});
