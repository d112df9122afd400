import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {runNode} from '../../platform/run-node.ts';

for (const [args, expected] of [
	[['--without', 'patience'], /names no mechanism: patience; there are /v],
	[['--whatever'], /--whatever/v],
] as const) {
	test(`${args.join(' ')} is rejected with an error message`, async (t: TestContext) => {
		const written: string[] = [];
		t.mock.method(process.stderr, 'write', (text: string) => {
			written.push(text);
			return true;
		});
		t.assert.strictEqual(await runNode(args), 1);
		t.assert.match(written.join(''), expected);
	});
}
