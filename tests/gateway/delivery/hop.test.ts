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
