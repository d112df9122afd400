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
	checkList,
	checkNumber,
	checkRecord,
	checkText,
} from './tuple-checks.ts';

/**
A heartbeat as it travels: a membership message with soft state beside it.
*/
export type Heartbeat = {
	readonly message: MembershipMessage;
	/**
	The configuration that the sender has in force.
	*/
	readonly stamp: ConfigurationStamp;
	readonly digests: readonly DigestEntry[];
};

/**
Turns heartbeats into sealed datagrams and back.
*/
export type HeartbeatCodec = {
	encode(heartbeat: Heartbeat): Buffer;
	/**
	Undefined for anything that is not a sealed heartbeat of this format.
	*/
	decode(datagram: Buffer): Heartbeat | undefined;
	/**
	Size of an entry on the wire, in bytes.
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

// The fields of each kind in their order on the wire; the order is part of the format.
const valueFields = {
	loads: ['node', 'reports'],
	'in-flight': ['node', 'counts'],
	leaving: ['backendServer', 'incarnation'],
	'zone-summary': ['availabilityZone', 'services'],
	demand: ['holder', 'availabilityZone', 'rates'],
} as const satisfies Readonly<Record<DigestValue['kind'], readonly string[]>>;

// Fields that hold a record; all others hold a text.
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
Builds a codec whose datagrams carry a seal.
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
	const tuple = checkList(value);
	return {
		id: checkText(tuple[0]),
		availabilityZone: checkText(tuple[1]),
		peerAddress: checkText(tuple[2]),
		callerAddress: checkText(tuple[3]),
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
	// An entry of one zone travels in that zone only, so its name need not.
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
	const tuple = checkList(value);
	return {
		backendServer: checkText(tuple[0]),
		running: checkNumber(tuple[1]),
		queued: checkNumber(tuple[2]),
		slots: checkNumber(tuple[3]),
		incarnation: checkText(tuple[4]),
	};
};

const decodeValue = (kind: DigestValue['kind'], values: Tuple): DigestValue => {
	if (kind === 'loads') {
		return {
			kind,
			node: checkText(values[0]),
			reports: checkList(values[1]).map((report) => decodeLoad(report)),
		};
	}

	const fields = valueFields[kind].map((field, index) => [
		field,
		recordFields.has(field)
			? checkRecord(values[index])
			: checkText(values[index]),
	]);
	const value: unknown = {kind, ...Object.fromEntries(fields)};
	return value as DigestValue;
};

const decodeEntry = (value: unknown, senderZone: string): DigestEntry => {
	const tuple = checkList(value);
	const scope = checkChoice(scopes, tuple[4]);
	return {
		reporter: checkText(tuple[0]),
		incarnation: checkNumber(tuple[1]),
		counter: checkNumber(tuple[2]),
		ageMs: checkNumber(tuple[3]),
		scope,
		availabilityZone: scope === 'everywhere' ? checkText(tuple[5]) : senderZone,
		value: decodeValue(checkChoice(valueKinds, tuple[6]), checkList(tuple[7])),
	};
};

const decodeHeartbeat = (value: unknown): Heartbeat | undefined => {
	const tuple = checkList(value);
	if (tuple[0] !== formatVersion) {
		return undefined;
	}

	const kind = checkChoice(messageKinds, tuple[1]);
	const common = {
		sequence: checkNumber(tuple[2]),
		from: decodeMember(tuple[3]),
		updates: checkList(tuple[4]).map((member) => decodeMember(member)),
	};
	const message: MembershipMessage =
		kind === 'ping-request'
			? {kind, ...common, target: checkText(tuple[5])}
			: {kind, ...common};
	const [version, digest] = checkList(tuple[7]);
	return {
		message,
		stamp: {version: checkNumber(version), digest: checkText(digest)},
		digests: checkList(tuple[6]).map((entry) =>
			decodeEntry(entry, common.from.availabilityZone),
		),
	};
};
