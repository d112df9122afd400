import type {OriginRecord} from '../stream-origins/stream-origin.ts';
import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
Messages about the origins of streams.
*/
export type StreamOriginMessage =
	/**
	Records for the receiver to keep, or the answer to a query.
	*/
	| {
			readonly kind: 'stream-origins';
			/**
			Id of the sending node.
			*/
			readonly from: string;
			readonly records: readonly OriginRecord[];
	  }
	/**
	Asks for the records under these keys.
	*/
	| {
			readonly kind: 'stream-origin-query';
			readonly from: string;
			readonly keys: readonly string[];
	  }
	/**
	Answers that the sender has no records under these keys.
	*/
	| {
			readonly kind: 'stream-origins-unknown';
			readonly from: string;
			readonly keys: readonly string[];
	  };

/**
Kinds of these messages, in the order of their indices on the wire.
*/
export const streamOriginMessageKinds = [
	'stream-origins',
	'stream-origin-query',
	'stream-origins-unknown',
] as const satisfies ReadonlyArray<StreamOriginMessage['kind']>;

type Row = readonly unknown[];

/**
Encodes a message as rows; each row can be decoded on its own.
*/
export const encodeStreamOriginRows = (
	message: StreamOriginMessage,
): readonly Row[] => {
	switch (message.kind) {
		case 'stream-origins': {
			return message.records.map(({key, service, softwareVersion, lifeMs}) => [
				key,
				service,
				softwareVersion,
				Math.round(lifeMs),
			]);
		}

		case 'stream-origin-query':
		case 'stream-origins-unknown': {
			return message.keys.map((key) => [key]);
		}
	}
};

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeStreamOriginRows = (
	kind: StreamOriginMessage['kind'],
	from: string,
	rows: readonly Row[],
): StreamOriginMessage => {
	switch (kind) {
		case 'stream-origins': {
			const records = rows.map(([key, service, softwareVersion, lifeMs]) => ({
				key: checkString(key),
				service: checkString(service),
				softwareVersion: checkString(softwareVersion),
				lifeMs: checkNonNegative(lifeMs),
			}));
			return {kind, from, records};
		}

		case 'stream-origin-query':
		case 'stream-origins-unknown': {
			return {kind, from, keys: rows.map(([key]) => checkString(key))};
		}
	}
};
