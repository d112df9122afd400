import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {createRequestSums, reportRetentionMs} from '../../src/demand/index.ts';

test('a report replaces the counts of its source for the servers that it names', (t: TestContext) => {
	const sums = createRequestSums();
	sums.record('a', [{server: 's', requests: 3}], 0);
	sums.record('b', [{server: 's', requests: 4}], 0);
	sums.record('a', [{server: 's', requests: 1}], 100);
	sums.record('a', [{server: 'other', requests: 2}], 200);
	t.assert.strictEqual(sums.at('s'), 5);
	t.assert.strictEqual(sums.at('other'), 2);
});

test('the requests of a node that has died no longer count after its last report has expired', (t: TestContext) => {
	const sums = createRequestSums();
	sums.record('dead', [{server: 's', requests: 9}], 0);
	sums.record('alive', [{server: 's', requests: 4}], reportRetentionMs);
	sums.expire(reportRetentionMs + 1);
	t.assert.strictEqual(sums.at('s'), 4);
	t.assert.strictEqual(sums.sources(), 1);
});

test('sums equal the sums of the latest reports for any sequence of reports', (t: TestContext) => {
	const reports = fc.array(
		fc.record({
			source: fc.constantFrom('a', 'b', 'c'),
			server: fc.constantFrom('s', 't'),
			requests: fc.nat(50),
		}),
	);
	fc.assert(
		fc.property(reports, (sequence) => {
			const sums = createRequestSums();
			const latest = new Map<string, number>();
			for (const {source, server, requests} of sequence) {
				sums.record(source, [{server, requests}], 0);
				latest.set(`${source} ${server}`, requests);
			}

			for (const server of ['s', 't']) {
				const expected = [...latest]
					.filter(([key]) => key.endsWith(` ${server}`))
					.reduce((sum, [, requests]) => sum + requests, 0);
				t.assert.strictEqual(sums.at(server), expected);
			}
		}),
	);
});
