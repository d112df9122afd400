import type {Member} from '../membership/index.ts';
import type {StreamOriginMessage} from '../peers/stream-origin-messages.ts';
import {originKeyOf} from './origin-key.ts';
import type {OriginHolders} from './origin-holders.ts';
import {createOriginLookups, type OriginListener} from './origin-lookups.ts';
import {createOriginTable} from './origin-table.ts';
import type {StreamOrigin} from './stream-origin.ts';

/**
Remembers what began the streams of callers, so that any node can continue them. Each record is kept by the node that began the
stream, and by a node of its region and one of another region.
*/
export type StreamOrigins = {
	/**
	Records the origin of a stream when its first event is passed on.

	@param requestId The caller's request.
	@param lifeMs Time for which the caller may take up the stream.
	*/
	record(requestId: string, origin: StreamOrigin, lifeMs: number): void;
	/**
	Finds the origin of a stream. The listener is called at once if this node has the record.

	@param requestId The caller's request that brought the first event.
	@returns Function that cancels the search.
	*/
	find(
		requestId: string,
		timeoutMs: number,
		onResult: OriginListener,
	): () => void;
	/**
	Handles a message of another node.
	*/
	receive(message: StreamOriginMessage): void;
	/**
	For metrics: records kept here, records sent to other nodes, and searches at other nodes.
	*/
	kept(): number;
	sent(): number;
	searches(): number;
};

/**
Options of `createStreamOrigins`.
*/
export type StreamOriginsOptions = {
	/**
	Id of this node.
	*/
	readonly self: string;
	readonly holders: OriginHolders;
	/**
	Finds another node by its id.
	*/
	readonly memberOf: (id: string) => Member | undefined;
	readonly send: (
		members: readonly Member[],
		message: StreamOriginMessage,
	) => void;
	readonly clock: () => number;
};

/**
Creates the memory of a node that has just started.
*/
export const createStreamOrigins = ({
	self,
	holders,
	memberOf,
	send,
	clock,
}: StreamOriginsOptions): StreamOrigins => {
	const table = createOriginTable();
	const lookups = createOriginLookups({self, send});
	let sent = 0;
	let searches = 0;

	const answer = (from: string, keys: readonly string[]) => {
		const asker = memberOf(from);
		if (!asker) {
			return;
		}

		const now = clock();
		const records = keys.flatMap((key) => {
			const origin = table.find(key, now);
			// The asker needs the record only for its answer.
			return origin ? [{key, ...origin, lifeMs: 0}] : [];
		});
		const unknown = keys.filter((key) => !table.find(key, now));
		if (records.length > 0) {
			send([asker], {kind: 'stream-origins', from: self, records});
		}

		if (unknown.length > 0) {
			send([asker], {
				kind: 'stream-origins-unknown',
				from: self,
				keys: unknown,
			});
		}
	};

	return {
		record(requestId, origin, lifeMs) {
			const record = {key: originKeyOf(requestId), ...origin, lifeMs};
			table.record(record, clock());
			const members = holders.toRecordAt(record.key);
			sent += members.length;
			send(members, {kind: 'stream-origins', from: self, records: [record]});
		},
		find(requestId, timeoutMs, onResult) {
			const key = originKeyOf(requestId);
			const known = table.find(key, clock());
			if (known) {
				onResult(known);
				return () => undefined;
			}

			searches += 1;
			return lookups.start(key, holders.toAsk(key), timeoutMs, onResult);
		},
		receive(message) {
			switch (message.kind) {
				case 'stream-origins': {
					const now = clock();
					for (const record of message.records) {
						if (record.lifeMs > 0) {
							table.record(record, now);
						}
					}

					lookups.receiveRecords(message.records);
					return;
				}

				case 'stream-origin-query': {
					answer(message.from, message.keys);
					return;
				}

				case 'stream-origins-unknown': {
					lookups.receiveUnknown(message.from, message.keys);
				}
			}
		},
		kept: table.size,
		sent: () => sent,
		searches: () => searches,
	};
};
