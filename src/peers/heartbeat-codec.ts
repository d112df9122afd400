import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {
	DigestEntry,
	DigestScope,
	DigestValue,
	ServerLoad,
} from '../digests/index.ts';
import type {
	Member,
	MembershipMessage,
	MemberStatus,
} from '../membership/index.ts';
import {sealBytes, type Sealer} from './seal.ts';
import {
	checkChoice,
	checkArray,
	checkNumber,
	checkRecord,
	checkString,
} from './tuple-checks.ts';

/**
A heartbeat datagram: a membership message with piggybacked soft state.
*/
export type Heartbeat = {
	readonly message: MembershipMessage;
	/**
	Identifies the active configuration of the sender.
	*/
	readonly stamp: ConfigurationStamp;
	readonly digests: readonly DigestEntry[];
};

/**
Encodes heartbeats as sealed datagrams and decodes them.
*/
export type HeartbeatCodec = {
	encode(heartbeat: Heartbeat): Buffer;
	/**
	Returns undefined for any datagram that is not a sealed heartbeat in this format.
	*/
	decode(datagram: Buffer): Heartbeat | undefined;
	/**
	Returns the encoded size of an entry, in bytes.
	*/
	sizeOf(entry: DigestEntry): number;
};

const formatVersion = 1;
const statuses: readonly MemberStatus[] = [
	'alive',
	'suspect',
	'dead',
	'leaving',
];
const scopes: readonly DigestScope[] = ['availability-zone', 'everywhere'];
const messageKinds = ['ping', 'acknowledge', 'ping-request'] as const;

// The fields of each kind in wire order; the order is part of the format.
const valueFields = {
	loads: ['node', 'reports'],
	'in-flight': ['node', 'counts'],
	leaving: ['backendServer', 'incarnation'],
	'zone-summary': ['availabilityZone', 'services'],
	demand: ['holder', 'availabilityZone', 'rates'],
} as const satisfies Readonly<Record<DigestValue['kind'], readonly string[]>>;

// Fields that hold a record; all others hold a string.
const recordFields: ReadonlySet<string> = new Set([
	'counts',
	'services',
	'rates',
]);

const valueKinds = Object.keys(valueFields) as ReadonlyArray<
	DigestValue['kind']
>;

type Tuple = readonly unknown[];

/**
Creates a codec that seals each datagram.
*/
export const createHeartbeatCodec = (sealer: Sealer): HeartbeatCodec => {
	const packr = new Packr({useRecords: false, variableMapSize: true});
	return {
		encode({message, stamp, digests}) {
			const body = packr.pack([
				formatVersion,
				messageKinds.indexOf(message.kind),
				message.sequence,
				encodeMember(message.from),
				message.updates.map((member) => encodeMember(member)),
				message.kind === 'ping-request' ? message.target : '',
				digests.map((entry) => encodeEntry(entry)),
				[stamp.version, stamp.digest],
			]);
			return Buffer.concat([sealer.seal(body), body]);
		},
		decode(datagram) {
			const body = datagram.subarray(sealBytes);
			if (!sealer.isSealed(body, datagram.subarray(0, sealBytes))) {
				return undefined;
			}

			try {
				return decodeHeartbeat(packr.unpack(body));
			} catch {
				return undefined;
			}
		},
		sizeOf: (entry) => packr.pack(encodeEntry(entry)).length,
	};
};

const encodeMember = (member: Member): Tuple => [
	member.id,
	member.availabilityZone,
	member.peerAddress,
	member.callerAddress,
	member.incarnation,
	member.revision,
	statuses.indexOf(member.status),
];

const decodeMember = (value: unknown): Member => {
	const tuple = checkArray(value);
	return {
		id: checkString(tuple[0]),
		availabilityZone: checkString(tuple[1]),
		peerAddress: checkString(tuple[2]),
		callerAddress: checkString(tuple[3]),
		incarnation: checkNumber(tuple[4]),
		revision: checkNumber(tuple[5]),
		status: checkChoice(statuses, tuple[6]),
	};
};

const encodeEntry = (entry: DigestEntry): Tuple => [
	entry.reporter,
	entry.incarnation,
	entry.counter,
	entry.ageMs,
	scopes.indexOf(entry.scope),
	// An entry with zone scope is sent only within its zone, so the zone name is omitted.
	entry.scope === 'everywhere' ? entry.availabilityZone : '',
	valueKinds.indexOf(entry.value.kind),
	encodeValue(entry.value),
];

const encodeValue = (value: DigestValue): Tuple =>
	value.kind === 'loads'
		? [value.node, value.reports.map((report) => encodeLoad(report))]
		: valueFields[value.kind].map(
				(field) => (value as unknown as Record<string, unknown>)[field],
			);

const encodeLoad = (report: ServerLoad): Tuple => [
	report.backendServer,
	report.running,
	report.queued,
	report.slots,
	report.incarnation,
];

const decodeLoad = (value: unknown): ServerLoad => {
	const tuple = checkArray(value);
	return {
		backendServer: checkString(tuple[0]),
		running: checkNumber(tuple[1]),
		queued: checkNumber(tuple[2]),
		slots: checkNumber(tuple[3]),
		incarnation: checkString(tuple[4]),
	};
};

const decodeValue = (kind: DigestValue['kind'], values: Tuple): DigestValue => {
	if (kind === 'loads') {
		return {
			kind,
			node: checkString(values[0]),
			reports: checkArray(values[1]).map((report) => decodeLoad(report)),
		};
	}

	const fields = valueFields[kind].map((field, index) => [
		field,
		recordFields.has(field)
			? checkRecord(values[index])
			: checkString(values[index]),
	]);
	const value: unknown = {kind, ...Object.fromEntries(fields)};
	return value as DigestValue;
};

const decodeEntry = (value: unknown, senderZone: string): DigestEntry => {
	const tuple = checkArray(value);
	const scope = checkChoice(scopes, tuple[4]);
	return {
		reporter: checkString(tuple[0]),
		incarnation: checkNumber(tuple[1]),
		counter: checkNumber(tuple[2]),
		ageMs: checkNumber(tuple[3]),
		scope,
		availabilityZone:
			scope === 'everywhere' ? checkString(tuple[5]) : senderZone,
		value: decodeValue(checkChoice(valueKinds, tuple[6]), checkArray(tuple[7])),
	};
};

const decodeHeartbeat = (value: unknown): Heartbeat | undefined => {
	const tuple = checkArray(value);
	if (tuple[0] !== formatVersion) {
		return undefined;
	}

	const kind = checkChoice(messageKinds, tuple[1]);
	const common = {
		sequence: checkNumber(tuple[2]),
		from: decodeMember(tuple[3]),
		updates: checkArray(tuple[4]).map((member) => decodeMember(member)),
	};
	const message: MembershipMessage =
		kind === 'ping-request'
			? {kind, ...common, target: checkString(tuple[5])}
			: {kind, ...common};
	const [version, digest] = checkArray(tuple[7]);
	return {
		message,
		stamp: {version: checkNumber(version), digest: checkString(digest)},
		digests: checkArray(tuple[6]).map((entry) =>
			decodeEntry(entry, common.from.availabilityZone),
		),
	};
};
