import {test, type TestContext} from 'node:test';
import {silentLogger} from '../../src/logging/index.ts';
import {maximumLeavingIncarnations} from '../../src/registry/index.ts';
import {
	createServerAnnouncements,
	type ServerAnnouncementsOptions,
} from '../../src/server-statements/index.ts';
import {answerOf} from './fixtures.ts';

const standingsOf = (change: Partial<ServerAnnouncementsOptions> = {}) =>
	createServerAnnouncements({
		logger: silentLogger,
		onLeaving: () => undefined,
		randomFraction: () => 0,
		...change,
	});

test('a shutdown belongs to one life', (t: TestContext) => {
	const standings = standingsOf();
	standings.recordShutdown(answerOf({}));
	standings.recordShutdown(answerOf({}));
	t.assert.strictEqual(standings.leavingServers(), 1);
	standings.recordSend('a 1', 0);
	standings.recordSend('a 2', 0);
	t.assert.strictEqual(standings.sentToLeaving(), 1);
});

test('the lives that are remembered are bounded', (t: TestContext) => {
	const standings = standingsOf();
	for (let index = 0; index < maximumLeavingIncarnations + 10; index += 1) {
		standings.recordShutdown(answerOf({}, {incarnationId: `a ${index}`}));
	}

	t.assert.strictEqual(standings.leavingServers(), maximumLeavingIncarnations);
});

test('a rest ends when the longest that was asked for is over', (t: TestContext) => {
	const standings = standingsOf();
	standings.recordBackoff(answerOf({}, {receivedAt: 0}), 3000);
	standings.recordBackoff(answerOf({}, {receivedAt: 100}), 500);
	t.assert.strictEqual(standings.serversInBackoff(2999), 1);
	standings.recordSend('a 1', 2999);
	standings.recordSend('a 1', 3000);
	t.assert.strictEqual(standings.sentDuringBackoff(), 1);
	t.assert.strictEqual(standings.serversInBackoff(3000), 0);
});
