import {test, type TestContext} from 'node:test';
import {silentLogger} from '../../src/logging/index.ts';
import {maximumLeavingIncarnations} from '../../src/registry/index.ts';
import {
	createServerAnnouncements,
	type ServerAnnouncementsOptions,
} from '../../src/server-statements/index.ts';
import {answerOf} from './fixtures.ts';

const announcementsOf = (change: Partial<ServerAnnouncementsOptions> = {}) =>
	createServerAnnouncements({
		logger: silentLogger,
		onLeaving: () => undefined,
		randomFraction: () => 0,
		...change,
	});

test('a shutdown applies to one incarnation', (t: TestContext) => {
	const announcements = announcementsOf();
	announcements.recordShutdown(answerOf({}));
	announcements.recordShutdown(answerOf({}));
	t.assert.strictEqual(announcements.leavingServers(), 1);
	announcements.recordSend('a 1', 0);
	announcements.recordSend('a 2', 0);
	t.assert.strictEqual(announcements.sentToLeaving(), 1);
});

test('the number of retained shutdowns is bounded', (t: TestContext) => {
	const announcements = announcementsOf();
	for (let index = 0; index < maximumLeavingIncarnations + 10; index += 1) {
		announcements.recordShutdown(answerOf({}, {incarnationId: `a ${index}`}));
	}

	t.assert.strictEqual(
		announcements.leavingServers(),
		maximumLeavingIncarnations,
	);
});

test('a backoff ends when the longest requested one is over', (t: TestContext) => {
	const announcements = announcementsOf();
	announcements.recordBackoff(answerOf({}, {receivedAt: 0}), 3000);
	announcements.recordBackoff(answerOf({}, {receivedAt: 100}), 500);
	t.assert.strictEqual(announcements.serversInBackoff(2999), 1);
	announcements.recordSend('a 1', 2999);
	announcements.recordSend('a 1', 3000);
	t.assert.strictEqual(announcements.sentDuringBackoff(), 1);
	t.assert.strictEqual(announcements.serversInBackoff(3000), 0);
});
