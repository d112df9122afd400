import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {
	quarantineMessageKinds,
	quarantineRows,
	readQuarantineRows,
	type QuarantineMessage,
} from './quarantine-messages.ts';
import {sealBytes, type Sealer} from './seal.ts';
import {
	readBackendLimitRows,
	backendLimitRows,
	type BackendLimitMessage,
} from './backend-limit-messages.ts';
import {
	readServerLeavingRows,
	serverLeavingRows,
	type ServerLeavingMessage,
} from './leaving-messages.ts';
import {checkChoice, checkCount, checkList, checkText} from './tuple-checks.ts';
import {
	readUsage,
	usageMessageKinds,
	usageFraction,
	usageRows,
	type UsageMessage,
} from './usage-messages.ts';

/**
What a node tells the others of its region of one backend server.
*/
export type PrefillBacklogMessage = {
	readonly kind: 'reading';
	/**
	One life of the node that tells.
	*/
	readonly from: string;
	readonly server: string;
	/**
	Tokens of long prompts that it sent there and that have not begun to be answered.
	*/
	readonly tokens: number;
	/**
	Rises with each message of the node.
	*/
	readonly sequence: number;
};

/**
What nodes tell each other beside heartbeats.
*/
export type PeerMessage =
	| UsageMessage
	| PrefillBacklogMessage
	| QuarantineMessage
	| BackendLimitMessage
	| ServerLeavingMessage;

/**
Turns messages between nodes into sealed datagrams and back.
*/
export type PeerMessageCodec = {
	/**
	One datagram or more; each can be read alone.
	*/
	encode(message: PeerMessage): readonly Buffer[];
	/**
	Undefined for anything that is not a sealed message of this format.
	*/
	decode(datagram: Buffer): PeerMessage | undefined;
};

/**
Requests at crashed servers in one datagram at the most: with names of 24 letters some 55 bytes each, so that it stays
below the usual size of a packet.
*/
export const runsPerDatagram = 20;

/**
Accounts in one datagram at the most: with names of 16 letters some 30 to 40 bytes each, so that it stays below the usual
size of a packet.
*/
export const accountsPerDatagram = 30;

// Heartbeats come to the same socket and have another number.
const formatVersion = 2;
const messageKinds = [
	...usageMessageKinds,
	'reading',
	...quarantineMessageKinds,
	'backend-limits',
	'servers-leaving',
] as const;

type Row = readonly unknown[];

/**
Builds a codec whose datagrams carry a seal.
*/
export const createPeerMessageCodec = (sealer: Sealer): PeerMessageCodec => {
	const packr = new Packr({useRecords: false});

	const seal = (message: PeerMessage, rows: readonly Row[]) => {
		const body = packr.pack([
			formatVersion,
			messageKinds.indexOf(message.kind),
			message.from,
			rows,
			partOf(message),
		]);
		return Buffer.concat([sealer.seal(body), body]);
	};

	return {
		encode(message) {
			const rows = rowsOf(message);
			const most =
				message.kind === 'crashes' ? runsPerDatagram : accountsPerDatagram;
			const datagrams: Buffer[] = [];
			for (let first = 0; first === 0 || first < rows.length; first += most) {
				const part = rows.slice(first, first + most);
				datagrams.push(seal(message, part));
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
			return usageRows(message);
		}

		case 'crashes':
		case 'quarantine':
		case 'served': {
			return quarantineRows(message);
		}

		case 'backend-limits': {
			return backendLimitRows(message);
		}

		case 'servers-leaving': {
			return serverLeavingRows(message);
		}
	}
};

const partOf = (message: PeerMessage): number => {
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
		case 'servers-leaving': {
			return 1;
		}
	}
};

const decodeMessage = (value: unknown): PeerMessage | undefined => {
	const [version, kindIndex, sender, list, part] = checkList(value);
	if (version !== formatVersion) {
		return undefined;
	}

	const kind = checkChoice(messageKinds, kindIndex);
	const from = checkText(sender);
	const rows = checkList(list).map((row) => checkList(row));
	switch (kind) {
		case 'reading': {
			return decodeReading(from, checkList(rows[0]));
		}

		case 'node':
		case 'zone':
		case 'totals': {
			return readUsage(kind, from, rows, part);
		}

		case 'crashes':
		case 'quarantine':
		case 'served': {
			return readQuarantineRows(kind, from, rows);
		}

		case 'backend-limits': {
			return readBackendLimitRows(from, rows);
		}

		case 'servers-leaving': {
			return readServerLeavingRows(from, rows);
		}
	}
};

const decodeReading = (from: string, row: Row): PrefillBacklogMessage => ({
	kind: 'reading',
	from,
	server: checkText(row[0]),
	tokens: checkCount(row[1]),
	sequence: checkCount(row[2]),
});
