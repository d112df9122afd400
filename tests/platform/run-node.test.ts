import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {runNode} from '../../platform/run-node.ts';

for (const [words, expected] of [
	[['--without', 'patience'], /names no mechanism: patience; there are /v],
	[['--whatever'], /--whatever/v],
] as const) {
	test(`${words.join(' ')} is refused with a line that says why`, async (t: TestContext) => {
		const written: string[] = [];
		t.mock.method(process.stderr, 'write', (text: string) => {
			written.push(text);
			return true;
		});
		t.assert.strictEqual(await runNode(words), 1);
		t.assert.match(written.join(''), expected);
	});
}
