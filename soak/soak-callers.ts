/**
Callers of a soak test. They reuse connections until the node closes them.
*/
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {productHeaders} from '../src/gateway/product-headers.ts';
import type {Random} from '../src/shared/index.ts';
import {fatalPart} from './soak-server.ts';
import {maximumBodyBytes} from './soak-routes.ts';

/**
Kinds of requests: non-idempotent, idempotent, streaming, and to a route that was added during the test.
*/
export const requestKinds = ['once', 'repeatable', 'stream', 'added'] as const;

/**
Kind of a request, which selects its route.
*/
export type RequestKind = (typeof requestKinds)[number];

/**
Request that a caller sent, and the answer that it received.
*/
export type CallerRecord = {
	readonly requestId: string;
	readonly kind: RequestKind;
	readonly path: string;
	readonly node: number;
	readonly sentAt: number;
	/**
	HTTP status, or 0 if there was no answer.
	*/
	readonly status: number;
	readonly signature: string;
	readonly body: string;
	readonly isWhole: boolean;
	readonly latencyMs: number;
	/**
	Time when the caller disconnected without waiting for the answer; infinite if it did not.
	*/
	readonly leftAt: number;
	/**
	The stream that the request continues, as far as the caller has received it.
	*/
	readonly continues: CallerRecord | undefined;
	/**
	Whether the request names the one that it continues.
	*/
	readonly isNamed: boolean;
	/**
	Whether the prompt has the part on which servers may crash.
	*/
	readonly hasFatalPart: boolean;
};

/**
Ids of the events that a caller has received in one answer, and the versions of the software that wrote them.
*/
export const eventsIn = ({
	body,
}: Pick<CallerRecord, 'body'>): ReadonlyArray<{
	readonly index: number;
	readonly version: string;
}> =>
	body
		.matchAll(/id: (?<index>\d+)\ndata: (?<version>\S+)\n\n/gv)
		.map(({groups}) => ({
			index: Number(groups!.index),
			version: groups!.version!,
		}))
		.toArray();

/**
Returns the first request of a stream, whose first event the caller has received.
*/
export const firstOf = (record: CallerRecord): CallerRecord =>
	record.continues ? firstOf(record.continues) : record;

/**
Returns the id of the last event that a caller has received of a stream, 0 for none.
*/
export const lastIndexOf = (record: CallerRecord): number =>
	eventsIn(record).at(-1)?.index ??
	(record.continues ? lastIndexOf(record.continues) : 0);

/**
Time that callers state, in milliseconds. They give up a little later.
*/
export const callerDeadlineMs = 3000;
// The caller of every n-th request disconnects before the answer.
const leaveEvery = 20;
const leaveAfterMs = 25;
// Every n-th stream has the part on which servers may crash.
const fatalEvery = 31;
// Every n-th take-up names no request.
const unnamedEvery = 3;
const topics = 9;
const maximumTakeUps = 2;

/**
Returns the index of the node that received a request; the request id begins with it.
*/
export const nodeOfRequest = (requestId: string): number =>
	Number(requestId.split('-', 1)[0]);

/**
Sends requests to random nodes at a constant rate.

@returns Function that stops sending and resolves with all records when each request has ended.
*/
export const startSoakCallers = (
	addresses: readonly string[],
	perSecond: number,
	random: Random,
	appliedVersion: () => number,
): (() => Promise<readonly CallerRecord[]>) => {
	const dispatcher = new Agent({connections: 20, connect: {timeout: 500}});
	const records: Array<Promise<readonly CallerRecord[]>> = [];
	let sent = 0;

	const send = async (
		node: number,
		kind: RequestKind,
		continues?: CallerRecord,
	): Promise<CallerRecord> => {
		sent += 1;
		const requestId = `${node}-${sent}`;
		const willLeave = kind !== 'once' && !continues && sent % leaveEvery === 0;
		const hasFatalPart = kind === 'stream' && sent % fatalEvery === 0;
		const path =
			kind === 'added'
				? `/added/${appliedVersion()}/${sent}`
				: `/${kind}/${sent}`;
		const base = {
			requestId,
			kind,
			path,
			node,
			sentAt: performance.now(),
			continues,
			isNamed: continues !== undefined && sent % unnamedEvery !== 0,
			hasFatalPart,
		};
		const elapsedMs = () => performance.now() - base.sentAt;
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
					[productHeaders.remainingMs]: String(callerDeadlineMs),
					...(kind === 'stream' && {
						[productHeaders.tokenUsage]: '3,5',
						[productHeaders.promptParts]: partsOf(sent, hasFatalPart),
					}),
					...(continues && {
						'last-event-id': String(lastIndexOf(continues)),
						...(base.isNamed && {
							[productHeaders.continuedRequestId]: firstOf(continues).requestId,
						}),
					}),
				},
				signal: AbortSignal.timeout(
					willLeave ? leaveAfterMs : callerDeadlineMs + 500,
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
				latencyMs: elapsedMs(),
				leftAt: Infinity,
			};
		} catch {
			return {
				...base,
				...head,
				body,
				isWhole: false,
				latencyMs: elapsedMs(),
				leftAt: willLeave ? base.sentAt + leaveAfterMs : Infinity,
			};
		}
	};

	// Takes a stream that broke off up again, at any node.
	const sendAndContinue = async (
		node: number,
		kind: RequestKind,
	): Promise<readonly CallerRecord[]> => {
		const all = [await send(node, kind)];
		for (let tries = 0; tries < maximumTakeUps; tries += 1) {
			const last = all.at(-1)!;
			const hasBrokenOff =
				kind === 'stream' && !last.isWhole && last.leftAt === Infinity;
			if (!hasBrokenOff || lastIndexOf(last) === 0) {
				return all;
			}

			all.push(await send(random.below(addresses.length), kind, last));
		}

		return all;
	};

	const timer = setInterval(() => {
		const drawn = requestKinds[random.below(requestKinds.length)]!;
		const kind =
			drawn === 'added' && appliedVersion() === 0 ? 'repeatable' : drawn;
		records.push(sendAndContinue(random.below(addresses.length), kind));
	}, 1000 / perSecond);

	return async () => {
		clearInterval(timer);
		const all = await Promise.all(records);
		await dispatcher.destroy();
		return all.flat();
	};
};

const floodBody = Buffer.alloc(maximumBodyBytes, 'x');

/**
Sends many bodies of the maximum length to one node at once. What becomes of them is not recorded; the node must stay within its memory and
serve the others.
*/
export const sendFlood = async (
	address: string,
	{node, callers}: {readonly node: number; readonly callers: number},
): Promise<void> => {
	const dispatcher = new Agent({connections: callers});
	const send = async (index: number) => {
		const answer = await request(`http://${address}/repeatable/flood`, {
			dispatcher,
			method: 'POST',
			body: floodBody,
			headers: {
				host: 'site.example',
				[productHeaders.requestId]: `${node}-flood-${index}`,
				[productHeaders.remainingMs]: String(callerDeadlineMs),
			},
			signal: AbortSignal.timeout(callerDeadlineMs),
		});
		await answer.body.dump();
	};

	await Promise.allSettled(
		Array.from({length: callers}, async (_, index) => send(index)),
	);
	await dispatcher.destroy();
};

const partsOf = (sent: number, hasFatalPart: boolean): string =>
	['common', hasFatalPart ? fatalPart : `topic-${sent % topics}`, `own-${sent}`]
		.map((id) => `${id}:1`)
		.join(',');
