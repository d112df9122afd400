import {test, type TestContext} from 'node:test';
import {createRegionFailoverLog} from '../../../src/gateway/intake/region-failover-log.ts';
import type {Logger} from '../../../src/logging/index.ts';
import {memberOf} from '../../fixtures.ts';

test('a line is logged when callers begin to be directed to other regions and when that ends, not in between', (t: TestContext) => {
	const targets: unknown[] = [];
	const logger: Pick<Logger, 'info'> = {
		info({target}) {
			targets.push(target);
		},
	};
	const failoverLog = createRegionFailoverLog({
		logger: logger as Logger,
		regionOf: (zone) => zone.slice(0, 1),
		members: () => [],
	});
	const localMembers = [memberOf('a1-1', 'a1')];
	const otherMembers = [memberOf('c1-1', 'c1'), memberOf('b1-1', 'b1')];
	for (const named of [
		localMembers,
		localMembers,
		otherMembers,
		otherMembers,
		[],
		localMembers,
		localMembers,
	]) {
		failoverLog.record('a', named);
	}

	t.assert.deepStrictEqual(targets, ['b c', '', 'a']);
});
