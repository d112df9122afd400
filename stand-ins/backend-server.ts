// Simulated backend server: a model engine or a plain HTTP service.
// Usage: node stand-ins/backend-server.ts --address IP:PORT --kind model --slots 64 --step-ms 5 --prefill-ms 20
import type {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseArgs} from 'node:util';
import {listen, readBody, readText, sendJson, sleep} from './http-server.ts';

type Faults = {
	/**
	Factor by which all processing times are multiplied.
	*/
	slowFactor: number;
	/**
	Whether the server refuses all requests and states that they did not run.
	*/
	isRefusing: boolean;
	/**
	Whether load reports announce the shutdown of the server.
	*/
	isLeaving: boolean;
	/**
	When the server breaks the connection: before or after it runs the request, or after `breakAfterTokens` tokens.
	*/
	breakAt: 'none' | 'before-run' | 'after-run' | 'mid-stream';
	breakAfterTokens: number;
	/**
	Number of requests whose connection the server still breaks.
	*/
	breaksLeft: number;
	/**
	Whether each event is sent twice.
	*/
	isRepeating: boolean;
	/**
	Index of the event that is omitted from each stream; -1 for none.
	*/
	gapAt: number;
	/**
	Whether answers carry the id of another attempt.
	*/
	isForeign: boolean;
	/**
	Whether each stream contains one event of another attempt.
	*/
	hasForeignEvent: boolean;
	/**
	Age of load reports, in milliseconds.
	*/
	reportLagMs: number;
	/**
	Delay before an answer begins, in milliseconds.
	*/
	delayMs: number;
	/**
	Drops every n-th cache event; 0 for none.
	*/
	loseEventEvery: number;
	/**
	Duration of one decoding step, in milliseconds.
	*/
	stepMs: number;
	/**
	Limit in requests per second that the answers state; 0 for none.
	*/
	limit: number;
	/**
	Whether response headers announce the shutdown; independent of the load reports.
	*/
	announcesLeaving: boolean;
	/**
	Value of `Retry-After` in refusals, in seconds; 0 for none.
	*/
	restSeconds: number;
};

const {values: options} = parseArgs({
	options: {
		address: {type: 'string'},
		kind: {type: 'string', default: 'model'},
		slots: {type: 'string', default: '64'},
		'step-ms': {type: 'string', default: '5'},
		'prefill-ms': {type: 'string', default: '20'},
	},
});

const faults: Faults = {
	slowFactor: 1,
	isRefusing: false,
	isLeaving: false,
	breakAt: 'none',
	breakAfterTokens: 0,
	breaksLeft: 0,
	isRepeating: false,
	gapAt: -1,
	isForeign: false,
	hasForeignEvent: false,
	reportLagMs: 0,
	delayMs: 0,
	loseEventEvery: 0,
	stepMs: Number(options['step-ms']),
	limit: 0,
	announcesLeaving: false,
	restSeconds: 0,
};
const slots = Number(options.slots);
const prefillMs = Number(options['prefill-ms']);
const incarnation = randomBytes(4).toString('hex');
const begun: Record<string, number> = {};
const resumed: Record<string, number> = {};
const canceled: string[] = [];
const cached = new Set<string>();
const cacheEvents: Array<{kind: 'stored' | 'evicted'; block: string}> = [];
const maximumCached = 200;
let running = 0;
let lastBegunAt = 0;
// Arrival times of all requests from nodes, in milliseconds since the Unix epoch.
const arrivals: number[] = [];
// The same requests with the node of the attempt, which is empty for requests of the load report.
const calls: Array<{at: number; node: string; isRefused: boolean}> = [];
let queued = 0;
let report = {running: 0, queued: 0};

setInterval(() => {
	const snapshot = {running, queued};
	setTimeout(() => {
		report = snapshot;
	}, faults.reportLagMs);
}, 100);

const headerOf = (request: IncomingMessage, name: string): string =>
	String(request.headers[name] ?? '');

const resumeOf = (request: IncomingMessage): number => {
	const text = headerOf(request, 'x-resume-from');
	return text === '' ? 0 : Number(text);
};

const shouldBreak = (at: Faults['breakAt']): boolean => {
	if (faults.breakAt !== at || faults.breaksLeft <= 0) {
		return false;
	}

	faults.breaksLeft -= 1;
	return true;
};

const isFull = () => running >= slots;

const didAcquireSlot = async (): Promise<boolean> => {
	if (running + queued >= slots * 1.5) {
		return false;
	}

	queued += 1;
	while (isFull()) {
		await sleep(2);
	}

	queued -= 1;
	running += 1;
	return true;
};

const isWarm = (prompt: string): boolean => {
	const block = createHash('sha1')
		.update(prompt.slice(0, 2048))
		.digest('hex')
		.slice(0, 12);
	const isKnown = cached.delete(block);
	cached.add(block);
	if (!isKnown) {
		cacheEvents.push({kind: 'stored', block});
		if (cached.size > maximumCached) {
			const oldest = cached.values().next().value!;
			cached.delete(oldest);
			cacheEvents.push({kind: 'evicted', block: oldest});
		}
	}

	return isKnown;
};

/**
Returns the text of one token. It depends only on the prompt and the index, so tests can check answers byte for byte.
*/
const tokenAt = (prompt: string, index: number): string =>
	`${createHash('sha1').update(`${prompt}#${index}`).digest('hex').slice(0, 6)} `;

const eventOf = (
	attemptId: string,
	index: number,
	requestId: string,
	model: string,
	content: string,
	isChat: boolean,
): string => {
	const choice = isChat
		? {index: 0, delta: {content}, finish_reason: null}
		: {index: 0, text: content, finish_reason: null};
	const data = {
		id: `chatcmpl-${requestId}`,
		object: 'chat.completion.chunk',
		created: 0,
		model,
		choices: [choice],
	};
	return `id: ${attemptId}:${index}\ndata: ${JSON.stringify(data)}\n\n`;
};

type Call = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly resumeFrom: number;
	readonly body: {model?: string; stream?: boolean; max_tokens?: number};
	readonly prompt: string;
	readonly isChat: boolean;
	readonly signal: AbortSignal;
};

const sleepScaled = async (milliseconds: number, signal: AbortSignal) =>
	sleep(milliseconds * faults.slowFactor, signal);

const stream = async (call: Call, response: ServerResponse) => {
	const {attemptId, requestId, prompt, signal, isChat} = call;
	response.writeHead(200, {
		'content-type': 'text/event-stream',
		'x-attempt-id': faults.isForeign ? 'another' : attemptId,
	});
	const total = call.body.max_tokens ?? 16;
	const breaksAt = shouldBreak('mid-stream') ? faults.breakAfterTokens : -1;
	for (
		let index = call.resumeFrom;
		index < total && !signal.aborted;
		index += 1
	) {
		if (index === breaksAt) {
			response.destroy();
			return;
		}

		await sleepScaled(faults.stepMs * (1 + running / slots), signal);
		const event = eventOf(
			attemptId,
			index,
			requestId,
			call.body.model ?? '',
			tokenAt(prompt, index),
			isChat,
		);
		if (index !== faults.gapAt) {
			response.write(faults.isRepeating ? event + event : event);
		}

		if (index === 3 && faults.hasForeignEvent) {
			response.write(
				eventOf('another', index + 1, requestId, '', 'not yours ', isChat),
			);
		}
	}

	response.end(`id: ${attemptId}:end\ndata: [DONE]\n\n`);
};

const sendCompleteAnswer = async (call: Call, response: ServerResponse) => {
	const total = call.body.max_tokens ?? 16;
	await sleepScaled(total * faults.stepMs, call.signal);
	if (shouldBreak('after-run')) {
		response.destroy();
		return;
	}

	const content = Array.from({length: total}, (_, index) =>
		tokenAt(call.prompt, index),
	).join('');
	const choice = call.isChat
		? {index: 0, message: {role: 'assistant', content}, finish_reason: 'stop'}
		: {index: 0, text: content, finish_reason: 'stop'};
	sendJson(
		response,
		200,
		{
			id: `chatcmpl-${call.requestId}`,
			object: call.isChat ? 'chat.completion' : 'text_completion',
			created: 0,
			model: call.body.model,
			choices: [choice],
			usage: {
				prompt_tokens: Math.ceil(call.prompt.length / 4),
				completion_tokens: total,
				total_tokens: total,
			},
		},
		{'x-attempt-id': faults.isForeign ? 'another' : call.attemptId},
	);
};

const promptOf = (body: {
	prompt?: string;
	messages?: Array<{content?: string}>;
}): string =>
	body.prompt ??
	(body.messages ?? []).map(({content}) => content ?? '').join('\n');

const complete = async (
	request: IncomingMessage,
	response: ServerResponse,
	text: Buffer,
	signal: AbortSignal,
) => {
	const body = JSON.parse(text.toString('utf8')) as Call['body'];
	const call: Call = {
		requestId: headerOf(request, 'x-request-id'),
		attemptId: headerOf(request, 'x-attempt-id'),
		resumeFrom: resumeOf(request),
		body,
		prompt: promptOf(body as never),
		isChat: request.url?.includes('/chat/') ?? false,
		signal,
	};
	await sleepScaled(
		isWarm(call.prompt)
			? prefillMs / 10
			: prefillMs * (1 + call.prompt.length / 16_384),
		signal,
	);
	await (body.stream
		? stream(call, response)
		: sendCompleteAnswer(call, response));
};

const servePlain = async (
	request: IncomingMessage,
	response: ServerResponse,
	body: Buffer,
	signal: AbortSignal,
) => {
	await sleepScaled(faults.stepMs, signal);
	if (shouldBreak('after-run')) {
		response.destroy();
		return;
	}

	sendJson(
		response,
		200,
		{
			method: request.method,
			url: request.url,
			body: body.toString('utf8'),
			requestId: headerOf(request, 'x-request-id'),
		},
		{
			'x-attempt-id': faults.isForeign
				? 'another'
				: headerOf(request, 'x-attempt-id'),
		},
	);
};

const run = async (request: IncomingMessage, response: ServerResponse) => {
	const body = await readBody(request);
	const abort = new AbortController();
	const requestId = headerOf(request, 'x-request-id');
	response.once('close', () => {
		if (response.writableFinished) {
			return;
		}

		canceled.push(requestId);
		abort.abort();
	});
	if (shouldBreak('before-run')) {
		response.destroy();
		return;
	}

	if (faults.isRefusing || !(await didAcquireSlot())) {
		sendJson(
			response,
			503,
			{error: 'no slot'},
			{
				'x-not-run': '1',
				...(faults.restSeconds > 0 && {
					'retry-after': String(faults.restSeconds),
				}),
			},
		);
		return;
	}

	const resumeFrom = resumeOf(request);
	const counts = resumeFrom > 0 ? resumed : begun;
	counts[requestId] = (counts[requestId] ?? 0) + 1;
	lastBegunAt = Date.now();
	try {
		await sleep(faults.delayMs, abort.signal);
		await (options.kind === 'model' ? complete : servePlain)(
			request,
			response,
			body,
			abort.signal,
		);
	} finally {
		running -= 1;
	}
};

const handle = async (request: IncomingMessage, response: ServerResponse) => {
	const url = new URL(request.url ?? '/', 'http://server');
	if (!url.pathname.startsWith('/control/')) {
		arrivals.push(Date.now());
		const [node = ''] = headerOf(request, 'x-attempt-id').split('.', 1);
		const isRefused = faults.isRefusing && url.pathname !== '/load';
		calls.push({at: Date.now(), node, isRefused});
	}

	if (faults.limit > 0) {
		response.setHeader('x-requests-per-second', String(faults.limit));
	}

	if (faults.announcesLeaving) {
		response.setHeader('x-leaving', '1');
	}

	switch (url.pathname) {
		case '/load': {
			sendJson(response, 200, {
				...report,
				slots,
				incarnation,
				isLeaving: faults.isLeaving,
				ageMs: faults.reportLagMs,
			});
			return;
		}

		case '/cache-events': {
			const after = Number(url.searchParams.get('after') ?? 0);
			const delivered = cacheEvents
				.slice(after)
				.filter(
					(_, index) =>
						faults.loseEventEvery === 0 ||
						(after + index) % faults.loseEventEvery !== 0,
				);
			sendJson(response, 200, {first: after, events: delivered});
			return;
		}

		case '/control/faults': {
			Object.assign(faults, JSON.parse(await readText(request)));
			sendJson(response, 200, faults);
			return;
		}

		case '/control/counts': {
			sendJson(response, 200, {
				begun,
				resumed,
				canceled,
				running,
				queued,
				lastBegunAt,
				arrivals,
				calls,
			});
			return;
		}

		default: {
			await run(request, response);
		}
	}
};

await listen(options.address!, handle);
