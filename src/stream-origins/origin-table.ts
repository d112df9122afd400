import type {OriginRecord, StreamOrigin} from './stream-origin.ts';

/**
Origins of streams in the memory of one node.
*/
export type OriginTable = {
	record(record: OriginRecord, now: number): void;
	/**
	Returns the origin that is recorded under a key, unless its time is over.
	*/
	find(key: string, now: number): StreamOrigin | undefined;
	size(): number;
};

/**
Maximum number of records; the oldest is evicted first.
*/
export const maximumOrigins = 20_000;

/**
Maximum time for which a record is kept, in milliseconds, whatever its sender asks for.
*/
export const maximumOriginLifeMs = 600_000;

// Records that are examined for their expiry when another one is added. More than one, so that the table shrinks.
const examinedPerRecord = 2;

type Entry = {readonly origin: StreamOrigin; readonly expiresAt: number};

/**
Creates an empty table.
*/
export const createOriginTable = (): OriginTable => {
	const entries = new Map<string, Entry>();

	const removeExpired = (now: number) => {
		const oldest = entries.entries().take(examinedPerRecord).toArray();
		for (const [key, {expiresAt}] of oldest) {
			if (expiresAt <= now || entries.size > maximumOrigins) {
				entries.delete(key);
			}
		}
	};

	return {
		record({key, service, softwareVersion, lifeMs}, now) {
			entries.delete(key);
			entries.set(key, {
				origin: {service, softwareVersion},
				expiresAt: now + Math.min(lifeMs, maximumOriginLifeMs),
			});
			removeExpired(now);
		},
		find(key, now) {
			const entry = entries.get(key);
			return entry && entry.expiresAt > now ? entry.origin : undefined;
		},
		size: () => entries.size,
	};
};
