import {test, type TestContext} from 'node:test';
import {silentLogger} from '../../src/logging/index.ts';
import {maximumLeavingLives} from '../../src/registry/index.ts';
import {
	createServerStandings,
	type ServerStandingsOptions,
} from '../../src/server-statements/index.ts';
import {answerOf} from './fixtures.ts';

const standingsOf = (change: Partial<ServerStandingsOptions> = {}) =>
	createServerStandings({
		logger: silentLogger,
		onLeaving: () => undefined,
		draw: () => 0,
		...change,
	});

test('a shutdown belongs to one life', (t: TestContext) => {
	const standings = standingsOf();
	standings.leaves(answerOf({}));
	standings.leaves(answerOf({}));
	t.assert.strictEqual(standings.leavingServers(), 1);
	standings.sent('a 1', 0);
	standings.sent('a 2', 0);
	t.assert.strictEqual(standings.sentToLeaving(), 1);
});

test('the lives that are remembered are bounded', (t: TestContext) => {
	const standings = standingsOf();
	for (let index = 0; index < maximumLeavingLives + 10; index += 1) {
		standings.leaves(answerOf({}, {life: `a ${index}`}));
	}

	t.assert.strictEqual(standings.leavingServers(), maximumLeavingLives);
});

test('a rest ends when the longest that was asked for is over', (t: TestContext) => {
	const standings = standingsOf();
	standings.asksForRest(answerOf({}, {receivedAt: 0}), 3000);
	standings.asksForRest(answerOf({}, {receivedAt: 100}), 500);
	t.assert.strictEqual(standings.restingServers(2999), 1);
	standings.sent('a 1', 2999);
	standings.sent('a 1', 3000);
	t.assert.strictEqual(standings.sentToResting(), 1);
	t.assert.strictEqual(standings.restingServers(3000), 0);
});
