import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	type BackendFleet,
	type Placement,
} from '../../src/backends/index.ts';
import {fleetOptionsOf, knownServerOf} from '../gateway/fixtures.ts';

const sharedTokens = 5000;

const placementOf = (change: Partial<Placement> = {}): Placement => ({
	service: 'engine',
	promptTokens: 3000 + sharedTokens,
	sharedPart: {id: 'part', tokens: sharedTokens},
	targetMs: 1000,
	excluded: new Set(),
	...change,
});

// Sets up a server that has the shared part and more requests than the other one; both prefill 50 tokens per millisecond.
const setUp = (): BackendFleet => {
	const fleet = createBackendFleet(
		fleetOptionsOf({
			isCached: (server, part) => server === 'holder' && part === 'part',
		}),
	);
	fleet.sync(
		new Map(['holder', 'other'].map((id) => [id, knownServerOf(id, 64)])),
		0,
	);
	const first = fleet.begin('holder', placementOf(), 0);
	first.recordFirstEvent(3000 / 50);
	first.end('answered', 1000);
	for (let index = 0; index < 30; index += 1) {
		const attempt = fleet.begin('holder', shortPrompt(), 1000);
		attempt.recordFirstEvent(1000);
	}

	return fleet;
};

const shortPrompt = (promptTokens = 100): Placement => ({
	service: 'engine',
	promptTokens,
	targetMs: 1000,
	excluded: new Set(),
});

const backlogTokens = 60_000;

const serverFor = (fleet: BackendFleet, placement: Placement): string => {
	const choice = fleet.choose(placement, 1000);
	return choice.kind === 'server' ? choice.id : choice.kind;
};

test('a shared part is processed again if that begins the response in time and waiting does not', (t: TestContext) => {
	const fleet = setUp();
	t.assert.strictEqual(serverFor(fleet, placementOf()), 'holder');
	fleet.begin('holder', shortPrompt(backlogTokens), 1000);
	t.assert.strictEqual(serverFor(fleet, placementOf()), 'other');
});

test('a shared part is not processed again while all servers are too busy to begin in time', (t: TestContext) => {
	const fleet = setUp();
	fleet.begin('holder', shortPrompt(backlogTokens), 1000);
	fleet.begin('other', shortPrompt(backlogTokens), 1000);
	t.assert.strictEqual(serverFor(fleet, placementOf()), 'holder');
});

test('a prompt that takes longer than its target by itself is sent to the server that has its shared part', (t: TestContext) => {
	const placement = placementOf({promptTokens: backlogTokens + sharedTokens});
	t.assert.strictEqual(serverFor(setUp(), placement), 'holder');
});
