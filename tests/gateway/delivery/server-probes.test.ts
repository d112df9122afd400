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

// Ends the health check of a server with a failure, and returns what is believed of the server then.
const suspicionAfter = (failure: Omit<UpstreamFailure, 'reason'>) => {
	const fleet = createBackendFleet(fleetOptionsOf());
	fleet.sync(new Map([['a', knownServerOf('a', 1)]]), 0);
	let listener: UpstreamListener | undefined;
	const probes = createServerProbes({
		client: {
			call(_call, received) {
				listener = received;
				return {abort: () => undefined, resume: () => undefined};
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
	listener!.onFailure({...failure, reason: 'failed'});
	return fleet.suspicionOf('a');
};

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
