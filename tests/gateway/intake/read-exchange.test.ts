import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {ReceivedRequest} from '../../../src/gateway/intake/caller-listener.ts';
import {encodeHopCall} from '../../../src/gateway/delivery/hop.ts';
import {
	readExchange,
	readForwarded,
	type ReadContext,
} from '../../../src/gateway/intake/read-exchange.ts';
import type {ClientAccount} from '../../../src/clients/index.ts';
import {createRouteTable, type Route} from '../../../src/routes/index.ts';
import {sha256} from '../../../src/shared/index.ts';
import {accountOf, documentOf, names, routeOf} from '../fixtures.ts';

const requestOf = (
	headers: readonly string[],
	target = '/a/b?c=d',
): ReceivedRequest => ({
	method: 'POST',
	target,
	host: 'site.example',
	rawHeaders: headers,
	header(name) {
		const index = headers.findIndex(
			(text, position) => position % 2 === 0 && text.toLowerCase() === name,
		);
		return index === -1 ? undefined : headers[index + 1];
	},
	body: undefined,
	bodyMs: 0,
	isFirst: false,
});

const contextOf = (change: Partial<ReadContext> = {}): ReadContext => ({
	names,
	routes: createRouteTable(documentOf({version: 5})),
	areRoutesFresh: true,
	now: 1000,
	...change,
});

const errorOf = (result: ReturnType<typeof readExchange>) =>
	result.isErr ? result.error.kind : 'ok';

// Guards against requests that no server could be sent, and that made sound servers seem unreachable.
test('a request with several Host headers is refused at once', () => {
	const request = requestOf(['X-Test-Id', 'r', 'Host', 'a', 'host', 'b']);
	assert.equal(errorOf(readExchange(request, contextOf())), 'bad-request');
});

test('a request without an id, routes or a matching route is refused with the error for that case', () => {
	assert.equal(
		errorOf(readExchange(requestOf([]), contextOf())),
		'bad-request',
	);
	const request = requestOf(['X-Test-Id', 'r'], '/unknown/');
	assert.equal(errorOf(readExchange(request, contextOf())), 'unknown-path');
	assert.equal(
		errorOf(readExchange(request, contextOf({areRoutesFresh: false}))),
		'not-ready',
	);
	assert.equal(
		errorOf(readExchange(request, contextOf({routes: undefined}))),
		'not-ready',
	);
});

test('reserved, hop-by-hop and node-to-node headers are removed', () => {
	const request = requestOf([
		'X-Test-Id',
		'r',
		'X-Test-Reserved',
		'smuggled',
		'X-Test-Expected',
		'smuggled',
		'Connection',
		'keep-alive',
		'Transfer-Encoding',
		'chunked',
		'Quillford-Hop-Origin',
		'smuggled',
		'X-Own',
		'kept',
	]);
	const exchange = readExchange(request, contextOf());
	assert.ok(exchange.isOk);
	assert.deepEqual(exchange.value.headers, ['X-Test-Id', 'r', 'X-Own', 'kept']);
	assert.equal(exchange.value.hop, undefined);
});

test('a request expires at its own deadline or that of its route, whichever is earlier', () => {
	const expiryOf = (stated: string) => {
		const exchange = readExchange(
			requestOf(['X-Test-Id', 'r', 'X-Test-Remaining', stated]),
			contextOf(),
		);
		assert.ok(exchange.isOk);
		return exchange.value.expiresAt;
	};

	assert.equal(expiryOf('500'), 1500);
	assert.equal(expiryOf('60000'), 5000);
	assert.equal(expiryOf('nonsense'), 5000);
	assert.equal(expiryOf('-1'), 5000);
});

test('a forwarded request gets the service chosen by the node with the newer routes', () => {
	const routes = createRouteTable(
		documentOf({
			version: 5,
			routes: [routeOf({services: [{service: 'here', weight: 1}]})],
		}),
	);
	const serviceAt = (version: number) => {
		const hop = encodeHopCall({
			origin: 'node-2',
			version,
			route: 'route',
			service: 'there',
			remainingMs: 700,
			excluded: ['a'],
			canWait: false,
			softwareVersion: undefined,
			client: undefined,
		});
		const exchange = readForwarded(
			requestOf(['X-Test-Id', 'r', ...hop]),
			contextOf({routes}),
		);
		assert.ok(exchange.isOk);
		assert.equal(exchange.value.expiresAt, 1700);
		return exchange.value.service;
	};

	assert.equal(serviceAt(4), 'here');
	assert.equal(serviceAt(5), 'there');
	assert.equal(serviceAt(6), 'there');
});

test('a length hint is read as the expected length of the response, at most its maximum length', () => {
	const expectedLength = (hint: string) => {
		const exchange = readExchange(
			requestOf([
				'x-test-id',
				'r',
				'x-test-tokens',
				'600,952',
				'x-test-expected-tokens',
				hint,
			]),
			contextOf(),
		);
		assert.ok(exchange.isOk);
		return exchange.value.prompt?.expectedTokensOut;
	};

	assert.equal(expectedLength('290'), 290);
	assert.equal(expectedLength('4000'), 952);
	assert.equal(expectedLength('0'), undefined);
	assert.equal(expectedLength('-3'), undefined);
	assert.equal(expectedLength('many'), undefined);
});

test('arbitrary headers never cause an exception', () => {
	const headers = fc.array(fc.string(), {maxLength: 12});
	fc.assert(
		fc.property(headers, fc.string(), fc.string(), (raw, usage, parts) => {
			const request = requestOf([
				'x-test-id',
				'r',
				'x-test-tokens',
				usage,
				'x-test-parts',
				parts,
				...raw,
			]);
			const exchange = readExchange(request, contextOf());
			assert.ok(exchange.isOk);
			assert.ok(Number.isFinite(exchange.value.prompt?.tokensIn));
		}),
	);
});

const withAccounts = (
	accounts: ReadonlyArray<Partial<ClientAccount>> = [{}],
	route: Partial<Route> = {},
	version = 5,
) =>
	createRouteTable(
		documentOf({
			version,
			routes: [routeOf(route)],
			clients: accounts.map((change) => accountOf(change)),
		}),
	);

test('a route that is not public requires a known key', () => {
	const read = (headers: readonly string[], change: Partial<ReadContext>) =>
		errorOf(
			readExchange(requestOf(['X-Test-Id', 'r', ...headers]), {
				...contextOf({routes: withAccounts()}),
				...change,
			}),
		);
	assert.equal(read(['X-Test-Key', 'key'], {}), 'ok');
	assert.equal(read(['x-test-KEY', ' key '], {}), 'ok');
	assert.equal(read([], {}), 'unauthenticated');
	assert.equal(read(['X-Test-Key', 'KEY'], {}), 'unauthenticated');
	assert.equal(read(['X-Test-Key', 'key, key'], {}), 'unauthenticated');
	assert.equal(read(['X-Test-Key', 'k'.repeat(16_384)], {}), 'unauthenticated');
	// The key may have been added since this node last received routes.
	assert.equal(
		read(['X-Test-Key', 'new'], {areRoutesFresh: false}),
		'not-ready',
	);
	const publicRoutes = withAccounts([{}], {isPublic: true});
	assert.equal(read(['X-Test-Key', 'unknown'], {routes: publicRoutes}), 'ok');
	assert.equal(read([], {routes: publicRoutes}), 'ok');
});

test('the key and account name sent by a caller are not forwarded where keys are required', () => {
	const request = requestOf([
		'X-Test-Id',
		'r',
		'X-Test-Key',
		'key',
		'X-Test-Client',
		'forged',
		'Quillford-Hop-Key-Digest',
		'forged',
	]);
	const exchange = readExchange(request, contextOf({routes: withAccounts()}));
	assert.ok(exchange.isOk);
	assert.deepEqual(exchange.value.headers, ['X-Test-Id', 'r']);
	assert.deepEqual(exchange.value.client, {
		name: 'account',
		keyDigest: sha256('key'),
	});
	const open = readExchange(request, contextOf());
	assert.ok(open.isOk);
	assert.equal(open.value.client, undefined);
	assert.equal(open.value.headers.length, 6);
});

test('home regions of route and account both apply, and a request without a common one is refused at once', () => {
	const read = (homeRegions: readonly string[]) =>
		readExchange(
			requestOf(['X-Test-Id', 'r', 'X-Test-Key', 'key']),
			contextOf({
				routes: withAccounts([{homeRegions}], {homeRegions: ['east', 'west']}),
			}),
		);
	const bound = read(['west', 'north']);
	assert.ok(bound.isOk);
	assert.deepEqual(bound.value.route.homeRegions, ['west']);
	assert.equal(errorOf(read(['north'])), 'residency-unavailable');
});

test('a forwarded request gets the account found by the node with the newer routes', () => {
	const clientAt = (version: number, routes: ReadContext['routes']) => {
		const hop = encodeHopCall({
			origin: 'node-2',
			version,
			route: 'route',
			service: 'there',
			remainingMs: 700,
			excluded: [],
			canWait: false,
			softwareVersion: undefined,
			client: {name: 'told', keyDigest: sha256('key')},
		});
		const exchange = readForwarded(
			requestOf(['X-Test-Id', 'r', ...hop]),
			contextOf({routes}),
		);
		return exchange.isOk ? exchange.value.client?.name : exchange.error.kind;
	};

	assert.equal(clientAt(4, withAccounts()), 'account');
	assert.equal(clientAt(5, withAccounts()), 'told');
	assert.equal(clientAt(6, withAccounts()), 'told');
	const keyIsGone = withAccounts([{keyDigests: []}]);
	assert.equal(clientAt(4, keyIsGone), 'unauthenticated');
	assert.equal(clientAt(6, keyIsGone), 'told');
});

test('a forwarded continuation keeps its service under newer routes, and is refused if they do not lead there', () => {
	const readBound = (service: string) => {
		const hop = encodeHopCall({
			origin: 'node-2',
			version: 4,
			route: 'route',
			service,
			remainingMs: 700,
			excluded: [],
			canWait: false,
			softwareVersion: 'v1',
			client: undefined,
		});
		const exchange = readForwarded(
			requestOf(['X-Test-Id', 'r', ...hop]),
			contextOf(),
		);
		return exchange.isOk ? exchange.value.service : exchange.error.kind;
	};

	assert.equal(readBound('engine'), 'engine');
	assert.equal(readBound('gone'), 'no-candidate');
});

test('a node that has no accounts yet forwards the key, and the receiving node finds the account', () => {
	const hop = encodeHopCall({
		origin: 'node-2',
		version: 4,
		route: 'route',
		service: 'there',
		remainingMs: 700,
		excluded: [],
		canWait: false,
		softwareVersion: undefined,
		client: undefined,
	});
	const exchange = readForwarded(
		requestOf(['X-Test-Id', 'r', 'X-Test-Key', 'key', ...hop]),
		contextOf({routes: withAccounts()}),
	);
	assert.ok(exchange.isOk);
	assert.equal(exchange.value.client?.name, 'account');
	assert.deepEqual(exchange.value.headers, ['X-Test-Id', 'r']);
});
