import type {Member} from '../membership/index.ts';
import type {StreamOriginMessage} from '../peers/stream-origin-messages.ts';
import type {OriginRecord, StreamOrigin} from './stream-origin.ts';

/**
Called with the result of a lookup; undefined if no record was found in time.
*/
export type OriginListener = (origin: StreamOrigin | undefined) => void;

/**
Asks other nodes for the origins of streams.
*/
export type OriginLookups = {
	/**
	Asks the holders of a key. The listener is called once, unless the returned function is called before.

	@param timeoutMs Time after which the lookup ends without a result; `lookupTimeoutMs` at most.
	*/
	start(
		key: string,
		holders: readonly Member[],
		timeoutMs: number,
		onResult: OriginListener,
	): () => void;
	/**
	Ends the lookups that wait for these records.
	*/
	receiveRecords(records: readonly OriginRecord[]): void;
	/**
	Ends the lookups for which all holders have answered that they have no record.
	*/
	receiveUnknown(from: string, keys: readonly string[]): void;
	/**
	Number of lookups that wait for an answer.
	*/
	pending(): number;
};

/**
Options of `createOriginLookups`.
*/
export type OriginLookupsOptions = {
	/**
	Id of this node.
	*/
	readonly self: string;
	readonly send: (
		members: readonly Member[],
		message: StreamOriginMessage,
	) => void;
};

/**
Maximum time of a lookup, in milliseconds. Twice the round trip between two regions: callers wait for the next event meanwhile.
*/
export const lookupTimeoutMs = 300;

/**
Time after which holders that have not answered are asked again, in milliseconds, since datagrams get lost.
*/
export const lookupRepeatMs = 130;

type Lookup = {
	readonly key: string;
	/**
	The holders that have not answered.
	*/
	readonly waitingFor: Map<string, Member>;
	readonly onResult: OriginListener;
	readonly timers: readonly NodeJS.Timeout[];
};

/**
Creates lookups; none is pending.
*/
export const createOriginLookups = ({
	self,
	send,
}: OriginLookupsOptions): OriginLookups => {
	const byKey = new Map<string, Set<Lookup>>();

	const remove = (lookup: Lookup) => {
		for (const timer of lookup.timers) {
			clearTimeout(timer);
		}

		const ofKey = byKey.get(lookup.key);
		ofKey?.delete(lookup);
		if (ofKey?.size === 0) {
			byKey.delete(lookup.key);
		}
	};

	const finish = (lookup: Lookup, origin: StreamOrigin | undefined) => {
		if (!byKey.get(lookup.key)?.has(lookup)) {
			return;
		}

		remove(lookup);
		lookup.onResult(origin);
	};

	const ask = ({key, waitingFor}: Lookup) => {
		send(waitingFor.values().toArray(), {
			kind: 'stream-origin-query',
			from: self,
			keys: [key],
		});
	};

	return {
		start(key, holders, timeoutMs, onResult) {
			const lookup: Lookup = {
				key,
				waitingFor: new Map(holders.map((member) => [member.id, member])),
				onResult,
				timers: [
					setTimeout(() => {
						ask(lookup);
					}, lookupRepeatMs),
					setTimeout(
						() => {
							finish(lookup, undefined);
						},
						holders.length === 0 ? 0 : Math.min(timeoutMs, lookupTimeoutMs),
					),
				],
			};
			const ofKey = byKey.get(key) ?? new Set();
			byKey.set(key, ofKey.add(lookup));
			ask(lookup);
			return () => {
				remove(lookup);
			};
		},
		receiveRecords(records) {
			for (const {key, service, softwareVersion} of records) {
				for (const lookup of byKey.get(key) ?? []) {
					finish(lookup, {service, softwareVersion});
				}
			}
		},
		receiveUnknown(from, keys) {
			for (const key of keys) {
				for (const lookup of byKey.get(key) ?? []) {
					lookup.waitingFor.delete(from);
					if (lookup.waitingFor.size === 0) {
						finish(lookup, undefined);
					}
				}
			}
		},
		pending: () => byKey.size,
	};
};
