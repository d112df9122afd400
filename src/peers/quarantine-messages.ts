import {checkCount, checkList, checkText} from './tuple-checks.ts';

/**
What a node saw of one request at one backend server that crashed.
*/
export type CrashUpdate = {
	/**
	Names the life of the server that ended.
	*/
	readonly incarnationId: string;
	/**
	Milliseconds since the server ended.
	*/
	readonly agoMs: number;
	readonly fingerprint: string;
	/**
	Milliseconds since the request was sent there.
	*/
	readonly sentAgoMs: number;
};

/**
A request in quarantine, as one node tells another.
*/
export type QuarantineUpdate = {
	readonly fingerprint: string;
	/**
	Milliseconds that are left of the quarantine.
	*/
	readonly leftMs: number;
	readonly level: number;
};

/**
What nodes tell each other of requests that crash backend servers. Times are told as ages, for clocks differ.
*/
export type QuarantineMessage =
	| {
			readonly kind: 'crashes';
			/**
			Id of the node that tells.
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
	Requests that were answered whole though they had been at crashes.
	*/
	| {
			readonly kind: 'served';
			readonly from: string;
			readonly fingerprints: readonly string[];
	  };

/**
Kinds of these messages, in the order of their numbers.
*/
export const quarantineMessageKinds = [
	'crashes',
	'quarantine',
	'served',
] as const satisfies ReadonlyArray<QuarantineMessage['kind']>;

type Row = readonly unknown[];

/**
The rows of a message; each can be read alone.
*/
export const quarantineRows = (message: QuarantineMessage): readonly Row[] => {
	switch (message.kind) {
		case 'crashes': {
			return message.runs.map(
				({incarnationId, agoMs, fingerprint, sentAgoMs}) => [
					incarnationId,
					Math.round(agoMs),
					fingerprint,
					Math.round(sentAgoMs),
				],
			);
		}

		case 'quarantine': {
			return message.entries.map(({fingerprint, leftMs, level}) => [
				fingerprint,
				Math.round(leftMs),
				level,
			]);
		}

		case 'served': {
			return message.fingerprints.map((fingerprint) => [fingerprint]);
		}
	}
};

/**
Reads rows; throws where they are of another form.
*/
export const readQuarantineRows = (
	kind: QuarantineMessage['kind'],
	from: string,
	rows: readonly Row[],
): QuarantineMessage => {
	switch (kind) {
		case 'crashes': {
			const runs = rows.map(
				([incarnationId, agoMs, fingerprint, sentAgoMs]) => ({
					incarnationId: checkText(incarnationId),
					agoMs: checkCount(agoMs),
					fingerprint: checkText(fingerprint),
					sentAgoMs: checkCount(sentAgoMs),
				}),
			);
			return {kind, from, runs};
		}

		case 'quarantine': {
			const entries = rows.map(([fingerprint, leftMs, level]) => ({
				fingerprint: checkText(fingerprint),
				leftMs: checkCount(leftMs),
				level: checkCount(level),
			}));
			return {kind, from, entries};
		}

		case 'served': {
			const fingerprints = rows.map((row) => checkText(checkList(row)[0]));
			return {kind, from, fingerprints};
		}
	}
};
