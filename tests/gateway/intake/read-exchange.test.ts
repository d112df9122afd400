import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {ReadRequest} from '../../../src/gateway/intake/front-listener.ts';
import {encodeHopCall} from '../../../src/gateway/delivery/hop.ts';
import {
	readExchange,
	readForwarded,
	type ReadContext,
} from '../../../src/gateway/intake/read-exchange.ts';
import {createRouteTable} from '../../../src/routes/index.ts';
import {documentOf, names, routeOf} from '../fixtures.ts';

const requestOf = (
	headers: readonly string[],
	target = '/a/b?c=d',
): ReadRequest => ({
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

test('a request without an id, without routes or without a route is refused as what it is', () => {
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

test('reserved headers, those of one connection and those between nodes are taken off', () => {
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

test('a request expires at the earlier of its own time and that of its route', () => {
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

test('the service of a forwarded request is that of the node with the newer routes', () => {
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

test('any headers are read or refused, and never end in an exception', () => {
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
