// A caller that sends requests and keeps what came back, for the auditor.
import {createHash, randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';

/**
What kind of request is sent.
*/
export type RequestKind =
	| 'whole'
	| 'streamed'
	| 'not-repeatable'
	| 'not-repeatable-streamed'
	| 'page'
	| 'filing';

/**
How a request is to be sent.
*/
export type Sending = {
	readonly kind: RequestKind;
	readonly entry: string;
	readonly key?: string;
	readonly residency?: string;
	readonly home?: string;
	readonly labels?: string;
	readonly requestId?: string;
	readonly deadlineMs?: number;
	readonly tokens?: number;
	/**
	Hang up after this many milliseconds.
	*/
	readonly hangUpAfterMs?: number;
	readonly prompt?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

/**
What came back.
*/
export type Received = {
	readonly sending: Sending;
	/**
	The id that names the request at the backend servers.
	*/
	readonly requestId: string;
	/**
	`complete`, an error kind of the gateway, or `connection-lost`.
	*/
	readonly result: string;
	readonly outcome: string;
	readonly region: string;
	readonly backendServer: string;
	readonly text: string;
	readonly expected: string;
	readonly status: number;
	readonly retryAfter: string | undefined;
	readonly entryVms: readonly string[];
	readonly elapsedMs: number;
	readonly sentAt: number;
};

/**
Key of the client that may be served anywhere.
*/
export const openKey = 'example-key-organisers';

const dispatcher = new Agent({
	connections: 200,
	headersTimeout: 120_000,
	bodyTimeout: 120_000,
});
const defaultTokens = 12;

/**
The text that an engine answers a prompt with.
*/
export const expectedText = (prompt: string, tokens: number): string =>
	Array.from(
		{length: tokens},
		(_, index) =>
			`${createHash('sha1').update(`${prompt}#${index}`).digest('hex').slice(0, 6)} `,
	).join('');

const isPlain = (kind: RequestKind) => kind === 'page' || kind === 'filing';
const isOnce = (kind: RequestKind) =>
	kind.startsWith('not-repeatable') || kind === 'filing';
const isStream = (kind: RequestKind) => kind.endsWith('streamed');

const headersOf = (
	sending: Sending,
	requestId: string | undefined,
): Record<string, string> => ({
	authorization: `Bearer ${sending.key ?? openKey}`,
	'content-type': 'application/json',
	...(requestId !== undefined && {'x-request-id': requestId}),
	...(isOnce(sending.kind) && {'x-quillford-repeatable': 'false'}),
	...(sending.residency !== undefined && {
		'x-quillford-residency': sending.residency,
	}),
	...(sending.home !== undefined && {'x-quillford-home': sending.home}),
	...(sending.labels !== undefined && {
		'x-quillford-labels': sending.labels,
	}),
	...(sending.deadlineMs !== undefined && {
		'x-quillford-deadline-ms': String(sending.deadlineMs),
	}),
	...sending.headers,
});

const textOfEvents = (
	text: string,
): {
	readonly content: string;
	readonly isEnded: boolean;
	readonly error: string | undefined;
} => {
	let content = '';
	let isEnded = false;
	let error: string | undefined;
	// What follows the last empty line is not a whole event.
	for (const event of text.split('\n\n').slice(0, -1)) {
		const data = event
			.split('\n')
			.find((line) => line.startsWith('data: '))
			?.slice(6);
		if (event.startsWith('event: error')) {
			error = (JSON.parse(data ?? '{}') as {error: {type: string}}).error.type;
		} else if (data === '[DONE]') {
			isEnded = true;
		} else if (data !== undefined) {
			content += (
				JSON.parse(data) as {choices: Array<{delta: {content: string}}>}
			).choices[0]!.delta.content;
		}
	}

	return {content, isEnded, error};
};

type Interpreted = {readonly result: string; readonly text: string};

const interpret = (
	sending: Sending,
	status: number,
	text: string,
): Interpreted => {
	if (status !== 200) {
		try {
			return {
				result: (JSON.parse(text) as {error: {type: string}}).error.type,
				text: '',
			};
		} catch {
			return {result: `status-${status}`, text};
		}
	}

	if (isPlain(sending.kind)) {
		const {url, body} = JSON.parse(text) as {url: string; body: string};
		return {result: 'complete', text: `${url} ${body}`};
	}

	if (isStream(sending.kind)) {
		const events = textOfEvents(text);
		return {
			result: events.error ?? (events.isEnded ? 'complete' : 'cut-short'),
			text: events.content,
		};
	}

	const {choices} = JSON.parse(text) as {
		choices: Array<{message: {content: string}}>;
	};
	return {result: 'complete', text: choices[0]!.message.content};
};

const issueId = async (entry: string): Promise<string | undefined> => {
	try {
		const answer = await request(`${entry}/v1/entry-vms`, {
			dispatcher,
			signal: AbortSignal.timeout(5000),
		});
		return ((await answer.body.json()) as {requestId: string}).requestId;
	} catch {
		return undefined;
	}
};

/**
Sends one request and waits for its end.
*/
export const send = async (sending: Sending): Promise<Received> => {
	const requestId =
		sending.requestId ??
		(isOnce(sending.kind)
			? await issueId(sending.entry)
			: `check-${randomUUID()}`);
	const tokens = sending.tokens ?? defaultTokens;
	const prompt = sending.prompt ?? `prompt ${requestId}`;
	const path = isPlain(sending.kind)
		? `/docket/${requestId}`
		: '/v1/chat/completions';
	const body =
		sending.kind === 'page'
			? ''
			: sending.kind === 'filing'
				? prompt
				: JSON.stringify({
						model: 'scribe-8b',
						stream: isStream(sending.kind),
						max_tokens: tokens,
						messages: [{role: 'user', content: prompt}],
					});
	const expected = isPlain(sending.kind)
		? `${path} ${body}`
		: expectedText(prompt, tokens);
	const startedAt = performance.now();
	const base = {
		sending,
		requestId: requestId ?? '',
		expected,
		sentAt: Date.now(),
	};
	let collected = '';
	let head:
		| {status: number; headers: Record<string, string | string[] | undefined>}
		| undefined;
	try {
		const answer = await request(sending.entry + path, {
			dispatcher,
			method: sending.kind === 'page' ? 'GET' : 'POST',
			headers: headersOf(sending, requestId),
			body: body === '' ? undefined : body,
			signal:
				sending.hangUpAfterMs === undefined
					? undefined
					: AbortSignal.timeout(sending.hangUpAfterMs),
		});
		head = {status: answer.statusCode, headers: answer.headers};
		for await (const chunk of answer.body) {
			collected += (chunk as Uint8Array).toString();
		}
	} catch {
		return {
			...base,
			result: 'connection-lost',
			outcome: 'unknown',
			region: String(head?.headers['x-quillford-region'] ?? ''),
			backendServer: '',
			text: isStream(sending.kind) ? textOfEvents(collected).content : '',
			status: head?.status ?? 0,
			retryAfter: undefined,
			entryVms: [],
			elapsedMs: performance.now() - startedAt,
		};
	}

	const {status, headers} = head;
	const entryVms = status === 200 ? [] : entryVmsOf(collected);
	return {
		...base,
		...interpret(sending, status, collected),
		requestId: requestId ?? String(headers['x-request-id'] ?? ''),
		outcome: String(headers['x-quillford-outcome'] ?? ''),
		region: String(headers['x-quillford-region'] ?? ''),
		backendServer: String(headers['x-quillford-backend-server'] ?? ''),
		status,
		retryAfter: headers['retry-after'] as string | undefined,
		entryVms,
		elapsedMs: performance.now() - startedAt,
	};
};

const entryVmsOf = (text: string): readonly string[] => {
	try {
		return (
			(JSON.parse(text) as {error: {entryVms?: readonly string[]}}).error
				.entryVms ?? []
		);
	} catch {
		return [];
	}
};
