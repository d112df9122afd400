import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	decodeHopCall,
	decodeHopResult,
	encodeHopCall,
	encodeHopResult,
} from '../../../src/gateway/delivery/hop.ts';

const isPrintable = (text: string) =>
	[...text].every((sign) => sign >= ' ' && sign <= '~');

const reader = (headers: readonly string[]) => (name: string) => {
	const index = headers.findIndex(
		(text, position) => position % 2 === 0 && text === name,
	);
	return index === -1 ? undefined : headers[index + 1];
};

test('the headers of a forwarded request decode to what was encoded', () => {
	const call = {
		origin: 'node-1',
		version: 7,
		route: 'r',
		service: 's',
		remainingMs: 1200,
		excluded: ['a', 'b'],
		canWait: true,
		softwareVersion: 'v1 %',
		client: {name: 'account', keyDigest: 'd1'},
	};
	assert.deepEqual(decodeHopCall(reader(encodeHopCall(call))), call);
	const withoutClient = {...call, client: undefined};
	assert.deepEqual(
		decodeHopCall(reader(encodeHopCall(withoutClient))),
		withoutClient,
	);
	assert.equal(
		decodeHopCall(() => undefined),
		undefined,
	);
});

// Guards against names of operators that no header can hold, or that a list of them splits.
test('names and ids of any characters decode to what was encoded', () => {
	const name = fc.string({unit: 'grapheme', minLength: 1});
	const names = fc.array(name, {maxLength: 3});
	fc.assert(
		fc.property(name, name, name, names, (origin, route, service, servers) => {
			const call = {
				origin,
				version: 7,
				route,
				service,
				remainingMs: 1200,
				excluded: servers,
				canWait: true,
				softwareVersion: origin,
				client: {name: service, keyDigest: 'd1'},
			};
			const headers = encodeHopCall(call);
			assert.deepEqual(decodeHopCall(reader(headers)), call);
			const answered = encodeHopResult({kind: 'answered', tried: servers});
			assert.deepEqual(decodeHopResult(reader(answered)).tried, servers);
			assert.ok([...headers, ...answered].every((text) => isPrintable(text)));
		}),
	);
});

test('a response without a result never proves that a request did not run', () => {
	const anything = fc.dictionary(fc.string(), fc.string());
	fc.assert(
		fc.property(anything, (headers) => {
			const result = decodeHopResult((name) => headers[name]);
			assert.strictEqual(result.kind, 'refused');
			assert.equal(result.outcome, 'unknown');
		}),
	);
});

test('a reason with arbitrary characters can be sent in a header', () => {
	fc.assert(
		fc.property(fc.string({unit: 'binary'}), (reason) => {
			const headers = encodeHopResult({
				kind: 'refused',
				availableInMs: 1500,
				isLeaving: true,
				outcome: 'not-run',
				reason,
				tried: ['x'],
			});
			const result = decodeHopResult(reader(headers));
			assert.strictEqual(result.kind, 'refused');
			assert.equal(result.outcome, 'not-run');
			assert.ok(isPrintable(result.reason));
			assert.equal(result.availableInMs, 1500);
			assert.ok(result.isLeaving);
		}),
	);
});
