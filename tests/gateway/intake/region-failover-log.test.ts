import {test, type TestContext} from 'node:test';
import {createRegionFailoverLog} from '../../../src/gateway/intake/region-failover-log.ts';
import type {Logger} from '../../../src/logging/index.ts';
import {memberOf} from '../../fixtures.ts';

test('a line is written when callers begin to be led elsewhere and when that ends, not between', (t: TestContext) => {
	const targets: unknown[] = [];
	const logger: Pick<Logger, 'info'> = {
		info({target}) {
			targets.push(target);
		},
	};
	const guide = createRegionFailoverLog({
		logger: logger as Logger,
		regionOf: (zone) => zone.slice(0, 1),
		members: () => [],
	});
	const own = [memberOf('a1-1', 'a1')];
	const others = [memberOf('c1-1', 'c1'), memberOf('b1-1', 'b1')];
	for (const named of [own, own, others, others, [], own, own]) {
		guide.note('a', named);
	}

	t.assert.deepStrictEqual(targets, ['b c', '', 'a']);
});
