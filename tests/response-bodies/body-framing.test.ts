import assert from 'node:assert/strict';
import {test} from 'node:test';
import {bodyFramingOf} from '../../src/response-bodies/index.ts';

const framingOf = (
	method: string,
	status: number,
	headers: Readonly<Record<string, string>>,
) => bodyFramingOf(method, {status, header: (name) => headers[name]});

test('a body is framed by chunks, by its length or by the end of the connection, in this order', () => {
	assert.equal(framingOf('GET', 200, {}), 'close');
	assert.equal(framingOf('GET', 200, {'content-length': '0'}), 'length');
	for (const codings of ['chunked', 'gzip, Chunked']) {
		const headers = {'transfer-encoding': codings, 'content-length': '5'};
		assert.equal(framingOf('GET', 200, headers), 'chunked');
	}

	assert.equal(framingOf('GET', 200, {'transfer-encoding': 'gzip'}), 'close');
});

test('responses without a body are whole by their head, whatever length they state', () => {
	for (const [method, status] of [
		['HEAD', 200],
		['GET', 204],
		['POST', 304],
	] as const) {
		assert.equal(framingOf(method, status, {'content-length': '9'}), 'none');
	}
});
