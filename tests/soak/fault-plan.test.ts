import {test, type TestContext} from 'node:test';
import {planFaults} from '../../soak/index.ts';

const options = {seed: 1, nodes: 6, servers: 5, lengthMs: 120_000};

test('the same seed gives the same plan, another seed another one', (t: TestContext) => {
	t.assert.deepStrictEqual(planFaults(options), planFaults(options));
	t.assert.notDeepStrictEqual(
		planFaults(options),
		planFaults({...options, seed: 2}),
	);
});

test('all kinds of faults occur, and none affects the last node or server', (t: TestContext) => {
	const faults = planFaults(options).map(({fault}) => fault);
	t.assert.strictEqual(new Set(faults.map(({kind}) => kind)).size, 23);
	t.assert.ok(
		faults.every(
			(fault) =>
				!('node' in fault && fault.node === 5) &&
				!('server' in fault && fault.server === 4),
		),
	);
});
