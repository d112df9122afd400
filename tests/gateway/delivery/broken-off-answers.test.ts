// Guards against answers that broke off but are passed on as complete, and complete ones that are broken off.
import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import type {Route} from '../../../src/routes/index.ts';
import {
	answer,
	createSink,
	exchangeFor,
	setUp,
	signed,
} from './delivery-scene.ts';

const streaming = {kind: 'streaming', maximumAttempts: 1} as const;
const kinds: ReadonlyArray<readonly [string, Partial<Route>]> = [
	['a route that is not resumable', streaming],
	['a resumable route', {...streaming, isResumable: true}],
];

const eventsWith = (end: string): string =>
	[1, 2].map((id) => `id: ${id}${end}data: x${end}${end}`).join('');

const endedAfter = (
	route: Partial<Route>,
	headers: Readonly<Record<string, string>>,
	chunks: readonly string[],
) => {
	const told: string[] = [];
	const {deliveries, sent, records} = setUp(
		['a'],
		undefined,
		undefined,
		undefined,
		undefined,
		undefined,
		{
			onServed() {
				told.push('served');
			},
			onCallBroken() {
				told.push('broken');
			},
		},
	);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor(route), sink);
	answer(sent[0]!, 200, {...signed, ...headers});
	for (const chunk of chunks) {
		sent[0]!.listener.onData(Buffer.from(chunk));
	}

	sent[0]!.listener.onEnd();
	return {seen, told, result: records[0]?.result};
};

for (const [name, route] of kinds) {
	test(`a stream without length on ${name} is complete at the end of an event only, wherever its connection closes`, (t: TestContext) => {
		for (const end of ['\n', '\r\n', '\r']) {
			const text = eventsWith(end);
			const eventLength = text.length / 2;
			for (let cut = 0; cut <= text.length; cut += 1) {
				const {seen, told, result} = endedAfter(route, {}, [
					...text.slice(0, cut),
				]);
				// The line feed of the last empty line may be missing, for the carriage return ends the line.
				const isAtEnd =
					[1, 2].includes(cut / eventLength) ||
					(end === '\r\n' && [1, 2].includes((cut + 1) / eventLength));
				t.assert.deepStrictEqual(
					[seen.isEnded, seen.isBroken, told, result],
					isAtEnd
						? [true, false, ['served'], 'answered']
						: [false, true, ['broken'], 'broken'],
					JSON.stringify(text.slice(0, cut)),
				);
			}
		}
	});

	test(`events with lines that end with a carriage return are passed on as they arrive on ${name}`, (t: TestContext) => {
		const text = eventsWith('\r');
		const {seen} = endedAfter(route, {'transfer-encoding': 'chunked'}, [text]);
		t.assert.deepStrictEqual([seen.text, seen.isEnded], [text, true]);
	});

	test(`a comment after the last event belongs to a complete stream on ${name}`, (t: TestContext) => {
		const text = `${eventsWith('\n')}: last words\n`;
		const {seen} = endedAfter(route, {}, [text]);
		t.assert.deepStrictEqual([seen.text, seen.isEnded], [text, true]);
	});

	test(`a success that is no event stream is passed on whole on ${name}`, (t: TestContext) => {
		const json = {'content-type': 'application/json; charset=utf-8'};
		const {seen} = endedAfter(route, json, ['{"text":', '"x"}']);
		t.assert.deepStrictEqual([seen.text, seen.isEnded], ['{"text":"x"}', true]);
	});
}

test('a stream of which length or chunks prove the end is complete, also without an event', (t: TestContext) => {
	for (const [header, value] of [
		['content-length', '0'],
		['transfer-encoding', 'chunked'],
	] as const) {
		for (const [, route] of kinds) {
			const {seen, told} = endedAfter(route, {[header]: value}, []);
			t.assert.deepStrictEqual([seen.isEnded, told], [true, ['served']]);
		}
	}
});

test('a stream whose server leaves out an event is continued after the last event that its caller has', (t: TestContext) => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	const events = (ids: readonly number[]) =>
		ids.map((id) => `id: ${id}\ndata: x\n\n`).join('');
	deliveries.deliver(
		exchangeFor({kind: 'streaming', isResumable: true, maximumAttempts: 3}),
		sink,
	);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(Buffer.from(events([1, 2, 4, 5])));
	answer(sent[1]!, 200, signed);
	sent[1]!.listener.onData(Buffer.from(events([3, 4, 5])));
	sent[1]!.listener.onEnd();
	t.assert.strictEqual(seen.text, events([1, 2, 3, 4, 5]));
	t.assert.ok(seen.isEnded);
	t.assert.match(
		sent[1]!.call.headers.join('\n'),
		/last-event-id\n2(?:\n|$)/iv,
	);
});
