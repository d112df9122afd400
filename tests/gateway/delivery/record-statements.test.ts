import {test, type TestContext} from 'node:test';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import {recordStatements} from '../../../src/gateway/delivery/record-statements.ts';
import type {DeliveryContext} from '../../../src/gateway/delivery/delivery-context.ts';
import {
	createDeliveryRun,
	type CurrentCall,
} from '../../../src/gateway/delivery/delivery-run.ts';
import type {ResponseSink} from '../../../src/gateway/exchange.ts';
import {
	createServerBackoffs,
	noStatements,
	type StatedAnswer,
} from '../../../src/server-statements/index.ts';
import {memberOf} from '../../fixtures.ts';
import {exchangeOf, names} from '../fixtures.ts';

const handledStatements = (
	call: Partial<CurrentCall>,
	headers: Readonly<Record<string, string>>,
): readonly StatedAnswer[] => {
	const handled: StatedAnswer[] = [];
	const context: Pick<
		DeliveryContext,
		'clock' | 'headers' | 'announcements' | 'statements' | 'without'
	> = {
		clock: () => 50,
		headers: names,
		announcements: {
			recordSend: () => undefined,
			backoffs: createServerBackoffs(() => 0),
		},
		statements: {
			handle(answer) {
				handled.push(answer);
				return noStatements;
			},
		},
		without: new Set(),
	};
	const current: CurrentCall = {
		open: () => ({abort: () => undefined, resume: () => undefined}),
		attempt: undefined,
		server: undefined,
		incarnationId: undefined,
		sentAt: 10,
		lastByteAt: undefined,
		kept: undefined,
		member: undefined,
		region: undefined,
		softwareVersion: undefined,
		start: {load: undefined, remainingMs: 0},
		...call,
	};
	recordStatements(
		context as DeliveryContext,
		createDeliveryRun(exchangeOf(), {} as ResponseSink, 1),
		current,
		{
			status: 200,
			header: (name) => headers[name],
			rawHeaders: Object.entries(headers).flat(),
		},
	);
	return handled;
};

const direct = {server: 'a', incarnationId: 'a 1'};
const relayed = {member: memberOf('node-2', 'zone-b'), region: 'north'};

for (const {name, call, headers, source} of [
	{
		name: 'an answer to the request',
		call: direct,
		headers: {[names.requestId]: 'request-1'},
		source: 'answer',
	},
	{
		name: 'a refusal',
		call: direct,
		headers: {[names.requestId]: 'request-1', [names.notRun]: '1'},
		source: 'refusal',
	},
	{
		name: 'an answer to an earlier request',
		call: direct,
		headers: {[names.requestId]: 'request-0'},
		source: 'surplus answer',
	},
	{
		name: 'an answer that another node relays',
		call: relayed,
		headers: {
			[hopHeaders.result]: 'answered',
			[hopHeaders.tried]: 'a',
			[hopHeaders.life]: 'a 1',
		},
		source: 'relayed answer',
	},
]) {
	test(`the statements of ${name} are attributed to the incarnation of its server`, (t: TestContext) => {
		const [answer, ...others] = handledStatements(call, headers);
		t.assert.deepStrictEqual(
			[answer?.server, answer?.incarnationId, answer?.source],
			['a', 'a 1', source],
		);
		t.assert.strictEqual(others.length, 0);
	});
}

test('a refusal by another node contains no statements of a server', (t: TestContext) => {
	const headers = {
		[hopHeaders.result]: 'refused',
		[hopHeaders.tried]: 'a',
		'retry-after': '3',
	};
	t.assert.deepStrictEqual(handledStatements(relayed, headers), []);
});
