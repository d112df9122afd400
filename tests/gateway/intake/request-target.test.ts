import {test, type TestContext} from 'node:test';
import {
	readRequestTarget,
	withHost,
} from '../../../src/gateway/intake/request-target.ts';

// Guards against requests with an absolute target that are answered 404 though their route exists.
for (const [target, host, path] of [
	['/a/b?c=d', 'site.example', '/a/b?c=d'],
	['https://other.example/a/b?c=d', 'other.example', '/a/b?c=d'],
	['HTTP://Other.Example:8000/a', 'Other.Example:8000', '/a'],
	['https://other.example', 'other.example', '/'],
	['https://other.example?c=d', 'other.example', '/?c=d'],
	['/https://other.example/a', 'site.example', '/https://other.example/a'],
	['*', 'site.example', '*'],
	['https:///a', 'site.example', 'https:///a'],
	['ftp://other.example/a', 'site.example', 'ftp://other.example/a'],
] as const) {
	test(`the target ${target} asks for ${path} of ${host}`, (t: TestContext) => {
		t.assert.deepStrictEqual(readRequestTarget(target, 'site.example'), {
			host,
			target: path,
		});
	});
}

test('the Host header alone is replaced', (t: TestContext) => {
	t.assert.deepStrictEqual(
		withHost(['X-Host', 'a', 'Host', 'a', 'host', 'a'], 'b'),
		['X-Host', 'a', 'Host', 'b', 'host', 'b'],
	);
});
