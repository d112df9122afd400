import {checkNonNegative, checkArray, checkString} from './tuple-checks.ts';

/**
One run of a request, or of the requests with one part in their prompts, on a backend server that crashed, as seen by one node.
*/
export type CrashUpdate = {
	/**
	Identifies the incarnation of the server that crashed.
	*/
	readonly incarnationId: string;
	/**
	Milliseconds since the server crashed.
	*/
	readonly agoMs: number;
	readonly fingerprint: string;
	/**
	Milliseconds since the request was sent to the server.
	*/
	readonly sentAgoMs: number;
	/**
	For a part of prompts: the number of requests in flight that have it.
	*/
	readonly runs?: number;
};

/**
A request in quarantine, as sent between nodes.
*/
export type QuarantineUpdate = {
	readonly fingerprint: string;
	/**
	Remaining time of the quarantine, in milliseconds.
	*/
	readonly remainingMs: number;
	readonly level: number;
};

/**
Messages about requests that crash backend servers. Times are sent as ages because the clocks of nodes differ.
*/
export type QuarantineMessage =
	| {
			readonly kind: 'crashes';
			/**
			Id of the sending node.
			*/
			readonly from: string;
			readonly runs: readonly CrashUpdate[];
	  }
	| {
			readonly kind: 'quarantine';
			readonly from: string;
			readonly entries: readonly QuarantineUpdate[];
	  }
	/**
	Requests that were running on servers that crashed, but have since been answered completely.
	*/
	| {
			readonly kind: 'served';
			readonly from: string;
			readonly fingerprints: readonly string[];
	  };

/**
Kinds of these messages, in the order of their indices on the wire.
*/
export const quarantineMessageKinds = [
	'crashes',
	'quarantine',
	'served',
] as const satisfies ReadonlyArray<QuarantineMessage['kind']>;

type Row = readonly unknown[];

/**
Encodes a message as rows; each row can be decoded on its own.
*/
export const encodeQuarantineRows = (
	message: QuarantineMessage,
): readonly Row[] => {
	switch (message.kind) {
		case 'crashes': {
			return message.runs.map(
				({incarnationId, agoMs, fingerprint, sentAgoMs, runs}) => [
					incarnationId,
					Math.round(agoMs),
					fingerprint,
					Math.round(sentAgoMs),
					...(runs === undefined ? [] : [runs]),
				],
			);
		}

		case 'quarantine': {
			return message.entries.map(({fingerprint, remainingMs, level}) => [
				fingerprint,
				Math.round(remainingMs),
				level,
			]);
		}

		case 'served': {
			return message.fingerprints.map((fingerprint) => [fingerprint]);
		}
	}
};

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeQuarantineRows = (
	kind: QuarantineMessage['kind'],
	from: string,
	rows: readonly Row[],
): QuarantineMessage => {
	switch (kind) {
		case 'crashes': {
			const runs = rows.map(
				([incarnationId, agoMs, fingerprint, sentAgoMs, count]) => ({
					incarnationId: checkString(incarnationId),
					agoMs: checkNonNegative(agoMs),
					fingerprint: checkString(fingerprint),
					sentAgoMs: checkNonNegative(sentAgoMs),
					...(count !== undefined && {runs: checkNonNegative(count)}),
				}),
			);
			return {kind, from, runs};
		}

		case 'quarantine': {
			const entries = rows.map(([fingerprint, remainingMs, level]) => ({
				fingerprint: checkString(fingerprint),
				remainingMs: checkNonNegative(remainingMs),
				level: checkNonNegative(level),
			}));
			return {kind, from, entries};
		}

		case 'served': {
			const fingerprints = rows.map((row) => checkString(checkArray(row)[0]));
			return {kind, from, fingerprints};
		}
	}
};
