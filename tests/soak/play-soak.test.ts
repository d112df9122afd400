import {test, type TestContext} from 'node:test';
import {playSoak} from '../../soak/index.ts';

for (const seed of [1, 2]) {
	test(`nodes keep their guarantees while nodes and servers fail, seed ${seed}`, async (t: TestContext) => {
		const {violations, logFolder} = await playSoak({
			seed,
			nodes: 5,
			servers: 5,
			lengthMs: 12_000,
			perSecond: 80,
			binary: 'dist/quillford',
		});
		t.assert.deepStrictEqual(violations, [], `logs: ${logFolder}`);
	});
}
