/**
The callers of a soak: they keep using open connections until the process behind them is gone.
*/
import {Agent, request} from 'undici';
import {productHeaders} from '../src/gateway/product-headers.ts';
import type {Random} from '../src/shared/index.ts';

/**
The kinds of requests.
*/
export const requestKinds = ['once', 'repeatable', 'stream', 'added'] as const;

/**
One of the kinds of requests.
*/
export type RequestKind = (typeof requestKinds)[number];

/**
What a caller sent and received.
*/
export type CallerRecord = {
	readonly requestId: string;
	readonly kind: RequestKind;
	readonly path: string;
	readonly node: number;
	readonly sentAt: number;
	/**
	0 where there was no answer.
	*/
	readonly status: number;
	readonly signature: string;
	readonly body: string;
	readonly isWhole: boolean;
	readonly latencyMs: number;
	/**
	When the caller closed its connection without waiting for the answer; infinite where it did not.
	*/
	readonly leftAt: number;
};

const deadlineMs = 3000;
// One request in this many is left by its caller, after this time in milliseconds.
const leaveEvery = 20;
const leaveAfterMs = 25;

/**
The node that a request was sent to, by its id.
*/
export const nodeOfRequest = (requestId: string): number =>
	Number(requestId.split('-', 1)[0]);

/**
Sends requests at an even pace to random nodes until told to stop.

@returns Stops, and resolves with all records once each request has ended.
*/
export const startSoakCallers = (
	addresses: readonly string[],
	perSecond: number,
	random: Random,
	appliedVersion: () => number,
): (() => Promise<readonly CallerRecord[]>) => {
	const dispatcher = new Agent({connections: 20, connect: {timeout: 500}});
	const records: Array<Promise<CallerRecord>> = [];
	let sent = 0;

	const send = async (
		node: number,
		kind: RequestKind,
	): Promise<CallerRecord> => {
		sent += 1;
		const requestId = `${node}-${sent}`;
		const willLeave = kind !== 'once' && sent % leaveEvery === 0;
		const path =
			kind === 'added'
				? `/added/${appliedVersion()}/${sent}`
				: `/${kind}/${sent}`;
		const base = {requestId, kind, path, node, sentAt: performance.now()};
		const passedMs = () => performance.now() - base.sentAt;
		let head = {status: 0, signature: ''};
		let body = '';
		try {
			const answer = await request(`http://${addresses[node]!}${path}`, {
				dispatcher,
				method: 'POST',
				body: 'work',
				headers: {
					host: 'site.example',
					[productHeaders.requestId]: requestId,
					[productHeaders.remainingMs]: String(deadlineMs),
				},
				signal: AbortSignal.timeout(
					willLeave ? leaveAfterMs : deadlineMs + 500,
				),
			});
			head = {
				status: answer.statusCode,
				signature: String(answer.headers[productHeaders.signature] ?? ''),
			};
			for await (const chunk of answer.body) {
				body += String(chunk);
			}

			return {
				...base,
				...head,
				body,
				isWhole: true,
				latencyMs: passedMs(),
				leftAt: Infinity,
			};
		} catch {
			return {
				...base,
				...head,
				body,
				isWhole: false,
				latencyMs: passedMs(),
				leftAt: willLeave ? base.sentAt + leaveAfterMs : Infinity,
			};
		}
	};

	const timer = setInterval(() => {
		const drawn = requestKinds[random.below(requestKinds.length)]!;
		const kind =
			drawn === 'added' && appliedVersion() === 0 ? 'repeatable' : drawn;
		records.push(send(random.below(addresses.length), kind));
	}, 1000 / perSecond);

	return async () => {
		clearInterval(timer);
		const all = await Promise.all(records);
		await dispatcher.destroy();
		return all;
	};
};
