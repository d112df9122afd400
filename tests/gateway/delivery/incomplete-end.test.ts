import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {type requestEnders} from '../../../src/gateway/exchange.ts';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import {memberOf} from '../../fixtures.ts';
import {
	answer,
	createSink,
	exchangeFor,
	setUp,
	signed,
} from './delivery-scene.ts';

const byteAt = 100;
const endAt = 700;
const streaming = exchangeFor({kind: 'streaming'});
const {expiresAt} = streaming;

const toOtherNode = () =>
	({kind: 'peer', member: memberOf('node-2', 'far'), region: 'far'}) as const;

const endOf = (ender: (typeof requestEnders)[number]) => {
	const {deliveries, sent, records, pass} = setUp(
		['a'],
		1000,
		true,
		ender === 'other-node' ? toOtherNode : undefined,
	);
	const handle = deliveries.deliver(streaming, createSink().sink);
	pass(byteAt);
	answer(sent[0]!, 200, {
		...signed,
		...(ender === 'other-node' && {[hopHeaders.result]: 'answered'}),
	});
	sent[0]!.listener.onData(Buffer.from('data: x\n\n'));
	return {handle, pass, listener: sent[0]!.listener, records};
};

test('the record of a request without a complete response names who ended it, the last byte and the silence', (t: TestContext) => {
	for (const ender of ['caller', 'backend-server', 'other-node'] as const) {
		const {handle, pass, listener, records} = endOf(ender);
		pass(endAt - byteAt);
		if (ender === 'caller') {
			handle.callerLeft();
		} else {
			listener.onFailure({wasSent: true, reason: 'reset'});
		}

		t.assert.deepStrictEqual(records[0]?.incomplete, {
			endedBy: ender,
			lastByteMs: byteAt,
			silentMs: endAt - byteAt,
		});
		t.assert.strictEqual(records[0].receivedRoutesVersion, 1);
	}
});

test('the record of a request that reached its deadline names the deadline', (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const {pass, records} = endOf('deadline');
	pass(expiresAt - byteAt);
	t.mock.timers.tick(expiresAt);
	t.assert.deepStrictEqual(records[0]?.incomplete, {
		endedBy: 'deadline',
		lastByteMs: byteAt,
		silentMs: expiresAt - byteAt,
	});
});

test('the record of a request that was answered or never sent has no such end', (t: TestContext) => {
	const {deliveries, sent, records} = setUp(['a']);
	deliveries.deliver(exchangeFor({}), createSink().sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onEnd();
	const unserved = setUp([]);
	unserved.deliveries.deliver(exchangeFor({}), createSink().sink);
	t.assert.strictEqual(records[0]?.incomplete, undefined);
	t.assert.strictEqual(unserved.records[0]?.result, 'refused');
	t.assert.strictEqual(unserved.records[0].incomplete, undefined);
});
