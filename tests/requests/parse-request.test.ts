import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	identifyClient,
	parseRequest,
	type IncomingRequest,
} from '../../src/requests/index.ts';
import {exampleConfiguration} from '../fixtures.ts';

const configuration = exampleConfiguration();
const context = {
	configuration,
	client: configuration.clients[0]!,
	localRegion: 'ibadan',
	now: 1000,
	issueId: () => 'issued',
};

const incoming = (
	change: Partial<IncomingRequest> = {},
	body: unknown = {model: 'scribe-8b', messages: []},
): IncomingRequest => ({
	method: 'POST',
	url: '/v1/chat/completions',
	headers: {},
	body: Buffer.from(typeof body === 'string' ? body : JSON.stringify(body)),
	signal: new AbortController().signal,
	...change,
});

const kindOf = (request: IncomingRequest, client = context.client) =>
	parseRequest(request, {...context, client}).match({
		Ok: () => 'ok',
		Err: ({kind}) => kind,
	});

const withHeader = (name: string, value: string) =>
	incoming({headers: {[name]: value}});

test('a model call is parsed with its defaults', () => {
	const request = parseRequest(incoming(), context).unwrapOr(
		undefined as never,
	);
	assert.equal(request.service.name, 'quill-scribes');
	assert.equal(request.homeRegion, 'ibadan');
	assert.equal(request.requestId, 'issued');
	assert.equal(request.deadline, 1000 + configuration.timing.requestTimeoutMs);
	assert.equal(request.labels['prompt-length'], 'short');
	assert.ok(request.isRepeatable);
	assert.ok(!request.isStreaming);
});

test('the path of a plain call selects the service; its method decides whether it is repeatable', () => {
	const parse = (method: string) =>
		parseRequest(
			incoming({method, url: '/docket/pages?x=1'}),
			context,
		).unwrapOr(undefined as never);
	assert.equal(parse('GET').service.name, 'docket-desk');
	assert.ok(parse('GET').isRepeatable);
	assert.ok(!parse('POST').isRepeatable);
	assert.equal(kindOf(incoming({url: '/docketed'})), 'unknown-path');
});

test('each invalid body is refused with its error kind', () => {
	assert.equal(kindOf(incoming({}, '{"model": ')), 'bad-request');
	assert.equal(kindOf(incoming({}, '[]')), 'bad-request');
	assert.equal(kindOf(incoming({}, {messages: []})), 'bad-request');
	assert.equal(kindOf(incoming({}, {model: 'unknown'})), 'unknown-model');
	assert.equal(kindOf(incoming({method: 'GET'})), 'bad-request');
});

test('each invalid header is refused with its error kind', () => {
	assert.equal(kindOf(withHeader('x-quillford-priority', '10')), 'bad-request');
	assert.equal(
		kindOf(withHeader('x-quillford-deadline-ms', '-1')),
		'bad-request',
	);
	assert.equal(
		kindOf(withHeader('x-quillford-repeatable', 'maybe')),
		'bad-request',
	);
	assert.equal(kindOf(withHeader('x-request-id', 'a b')), 'bad-request');
	assert.equal(
		kindOf(withHeader('x-quillford-home', 'nowhere')),
		'bad-request',
	);
	assert.equal(
		kindOf(withHeader('x-quillford-residency', 'nowhere')),
		'residency-invalid',
	);
	assert.equal(
		kindOf(
			withHeader('x-quillford-residency', 'ibadan'),
			configuration.clients[2],
		),
		'residency-invalid',
	);
});

test('a request bound to one region has its home there', () => {
	const request = parseRequest(
		withHeader('x-quillford-residency', 'abuja'),
		context,
	).unwrapOr(undefined as never);
	assert.equal(request.homeRegion, 'abuja');
});

test('a caller cannot impersonate another client with a label', () => {
	const request = parseRequest(
		withHeader('x-quillford-labels', 'client=petitioners'),
		context,
	).unwrapOr(undefined as never);
	assert.equal(request.labels.client, 'organisers');
});

test('any input is parsed to a request or to an error with the outcome not-run', () => {
	const header = fc.constantFrom(
		'x-quillford-labels',
		'x-quillford-priority',
		'x-quillford-residency',
		'x-request-id',
		'x-quillford-home',
	);
	fc.assert(
		fc.property(
			fc.dictionary(header, fc.string()),
			fc.oneof(fc.string(), fc.json()),
			fc.webPath(),
			(headers, body, url) => {
				for (const one of [url, '/v1/chat/completions']) {
					const parsed = parseRequest(
						incoming({headers, url: one}, body),
						context,
					);
					assert.ok(parsed.isOk || parsed.error.outcome === 'not-run');
				}
			},
		),
		{numRuns: 1000},
	);
});

test('a client is identified by its key alone', () => {
	const find = (authorization: string | undefined) =>
		identifyClient(incoming({headers: {authorization}}), configuration).match({
			Ok: ({name}) => name,
			Err: ({kind}) => kind,
		});
	assert.equal(find('Bearer example-key-petitioners'), 'petitioners');
	assert.equal(find('bearer example-key-petitioners'), 'petitioners');
	assert.equal(find('Bearer other'), 'unauthenticated');
	assert.equal(find(undefined), 'unauthenticated');
});
