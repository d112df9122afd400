import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {
	quarantineMessageKinds,
	encodeQuarantineRows,
	decodeQuarantineRows,
	type QuarantineMessage,
} from './quarantine-messages.ts';
import {sealBytes, type Sealer} from './seal.ts';
import {
	decodeBackendLimitRows,
	encodeBackendLimitRows,
	type BackendLimitMessage,
} from './backend-limit-messages.ts';
import {
	decodeServerLeavingRows,
	encodeServerLeavingRows,
	type ServerLeavingMessage,
} from './leaving-messages.ts';
import {
	decodeDemandRows,
	demandMessageKinds,
	encodeDemandRows,
	type DemandMessage,
} from './demand-messages.ts';
import {
	decodeRefusalLimitRows,
	encodeRefusalLimitRows,
	type RefusalLimitMessage,
} from './refusal-limit-messages.ts';
import {
	decodeSlotLeaseRows,
	encodeSlotLeaseRows,
	slotLeaseMessageKinds,
	type SlotLeaseMessage,
} from './slot-lease-messages.ts';
import {
	decodeStreamOriginRows,
	encodeStreamOriginRows,
	streamOriginMessageKinds,
	type StreamOriginMessage,
} from './stream-origin-messages.ts';
import {
	checkChoice,
	checkNonNegative,
	checkArray,
	checkString,
} from './tuple-checks.ts';
import {
	decodeUsageMessage,
	usageMessageKinds,
	usageFraction,
	encodeUsageRows,
	type UsageMessage,
} from './usage-messages.ts';

/**
The prefill backlog that one node has placed on a backend server, as sent to the other nodes of its region.
*/
export type PrefillBacklogMessage = {
	readonly kind: 'reading';
	/**
	Identifies one incarnation of the sending node.
	*/
	readonly from: string;
	readonly server: string;
	/**
	Tokens of long prompts that the node sent to the server and whose answers have not begun.
	*/
	readonly tokens: number;
	/**
	Increases with each message of the node.
	*/
	readonly sequence: number;
};

/**
Messages that nodes exchange in addition to heartbeats.
*/
export type PeerMessage =
	| UsageMessage
	| PrefillBacklogMessage
	| QuarantineMessage
	| BackendLimitMessage
	| ServerLeavingMessage
	| DemandMessage
	| StreamOriginMessage
	| RefusalLimitMessage
	| SlotLeaseMessage;

/**
Encodes messages between nodes as sealed datagrams and decodes them.
*/
export type PeerMessageCodec = {
	/**
	Returns one or more datagrams; each can be decoded on its own.
	*/
	encode(message: PeerMessage): readonly Buffer[];
	/**
	Returns undefined for any datagram that is not a sealed message in this format.
	*/
	decode(datagram: Buffer): PeerMessage | undefined;
};

/**
Maximum number of runs on crashed servers per datagram. A run takes about 55 bytes with names of 24 characters, so that a
datagram fits into one packet of the usual size.
*/
export const maximumRunsPerDatagram = 20;

/**
Maximum number of rows of any other kind per datagram. The row of an account takes 30 to 40 bytes with names of 16
characters, so that a datagram fits into one packet of the usual size.
*/
export const maximumRowsPerDatagram = 30;

// Differs from the format version of heartbeats, which arrive on the same socket.
const formatVersion = 2;
const messageKinds = [
	...usageMessageKinds,
	'reading',
	...quarantineMessageKinds,
	'backend-limits',
	'servers-leaving',
	...demandMessageKinds,
	...streamOriginMessageKinds,
	'refusal-limits',
	...slotLeaseMessageKinds,
] as const;

type Row = readonly unknown[];

/**
Creates a codec that seals each datagram.
*/
export const createPeerMessageCodec = (sealer: Sealer): PeerMessageCodec => {
	const packr = new Packr({useRecords: false});

	const seal = (message: PeerMessage, rows: readonly Row[]) => {
		const body = packr.pack([
			formatVersion,
			messageKinds.indexOf(message.kind),
			message.from,
			rows,
			fractionOf(message),
		]);
		return Buffer.concat([sealer.seal(body), body]);
	};

	return {
		encode(message) {
			const rows = rowsOf(message);
			const maximumRows =
				message.kind === 'crashes'
					? maximumRunsPerDatagram
					: maximumRowsPerDatagram;
			const datagrams: Buffer[] = [];
			for (
				let first = 0;
				first === 0 || first < rows.length;
				first += maximumRows
			) {
				const chunk = rows.slice(first, first + maximumRows);
				datagrams.push(seal(message, chunk));
			}

			return datagrams;
		},
		decode(datagram) {
			const body = datagram.subarray(sealBytes);
			if (!sealer.isSealed(body, datagram.subarray(0, sealBytes))) {
				return undefined;
			}

			try {
				return decodeMessage(packr.unpack(body));
			} catch {
				return undefined;
			}
		},
	};
};

const rowsOf = (message: PeerMessage): readonly Row[] => {
	switch (message.kind) {
		case 'reading': {
			return [[message.server, message.tokens, message.sequence]];
		}

		case 'node':
		case 'zone':
		case 'totals': {
			return encodeUsageRows(message);
		}

		case 'crashes':
		case 'quarantine':
		case 'served': {
			return encodeQuarantineRows(message);
		}

		case 'backend-limits': {
			return encodeBackendLimitRows(message);
		}

		case 'servers-leaving': {
			return encodeServerLeavingRows(message);
		}

		case 'demand-node':
		case 'demand-zone':
		case 'demand-totals':
		case 'demand-regions':
		case 'node-capacities': {
			return encodeDemandRows(message);
		}

		case 'stream-origins':
		case 'stream-origin-query':
		case 'stream-origins-unknown': {
			return encodeStreamOriginRows(message);
		}

		case 'refusal-limits': {
			return encodeRefusalLimitRows(message);
		}

		case 'slot-requests':
		case 'slot-grants': {
			return encodeSlotLeaseRows(message);
		}
	}
};

const fractionOf = (message: PeerMessage): number => {
	switch (message.kind) {
		case 'node':
		case 'zone':
		case 'totals': {
			return usageFraction(message);
		}

		case 'reading':
		case 'crashes':
		case 'quarantine':
		case 'served':
		case 'backend-limits':
		case 'servers-leaving':
		case 'demand-node':
		case 'demand-zone':
		case 'demand-totals':
		case 'demand-regions':
		case 'node-capacities':
		case 'stream-origins':
		case 'stream-origin-query':
		case 'stream-origins-unknown':
		case 'refusal-limits':
		case 'slot-requests':
		case 'slot-grants': {
			return 1;
		}
	}
};

const decodeMessage = (value: unknown): PeerMessage | undefined => {
	const [version, kindIndex, sender, list, fraction] = checkArray(value);
	if (version !== formatVersion) {
		return undefined;
	}

	const kind = checkChoice(messageKinds, kindIndex);
	const from = checkString(sender);
	const rows = checkArray(list).map((row) => checkArray(row));
	switch (kind) {
		case 'reading': {
			return decodePrefillBacklog(from, checkArray(rows[0]));
		}

		case 'node':
		case 'zone':
		case 'totals': {
			return decodeUsageMessage(kind, from, rows, fraction);
		}

		case 'crashes':
		case 'quarantine':
		case 'served': {
			return decodeQuarantineRows(kind, from, rows);
		}

		case 'backend-limits': {
			return decodeBackendLimitRows(from, rows);
		}

		case 'servers-leaving': {
			return decodeServerLeavingRows(from, rows);
		}

		case 'demand-node':
		case 'demand-zone':
		case 'demand-totals':
		case 'demand-regions':
		case 'node-capacities': {
			return decodeDemandRows(kind, from, rows);
		}

		case 'stream-origins':
		case 'stream-origin-query':
		case 'stream-origins-unknown': {
			return decodeStreamOriginRows(kind, from, rows);
		}

		case 'refusal-limits': {
			return decodeRefusalLimitRows(from, rows);
		}

		case 'slot-requests':
		case 'slot-grants': {
			return decodeSlotLeaseRows(kind, from, rows);
		}
	}
};

const decodePrefillBacklog = (
	from: string,
	row: Row,
): PrefillBacklogMessage => ({
	kind: 'reading',
	from,
	server: checkString(row[0]),
	tokens: checkNonNegative(row[1]),
	sequence: checkNonNegative(row[2]),
});
