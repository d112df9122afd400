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
				return decodeHeartbeat(packr.unpack(body) as Tuple);
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

const decodeMember = (tuple: Tuple): Member => ({
	id: tuple[0] as string,
	availabilityZone: tuple[1] as string,
	peerAddress: tuple[2] as string,
	callerAddress: tuple[3] as string,
	incarnation: Number(tuple[4]),
	revision: Number(tuple[5]),
	status: statuses[tuple[6] as number]!,
});

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

const decodeLoad = (tuple: Tuple): ServerLoad => ({
	backendServer: tuple[0] as string,
	running: tuple[1] as number,
	queued: tuple[2] as number,
	slots: tuple[3] as number,
	incarnation: tuple[4] as string,
});

const decodeValue = (kind: DigestValue['kind'], values: Tuple): DigestValue => {
	if (kind === 'loads') {
		const reports = values[1] as readonly Tuple[];
		return {
			kind,
			node: values[0] as string,
			reports: reports.map((report) => decodeLoad(report)),
		};
	}

	const fields = valueFields[kind].map((field, index) => [
		field,
		values[index],
	]);
	const value: unknown = {kind, ...Object.fromEntries(fields)};
	return value as DigestValue;
};

const decodeEntry = (tuple: Tuple, senderZone: string): DigestEntry => {
	const scope = scopes[tuple[4] as number]!;
	return {
		reporter: tuple[0] as string,
		incarnation: Number(tuple[1]),
		counter: Number(tuple[2]),
		ageMs: Number(tuple[3]),
		scope,
		availabilityZone:
			scope === 'everywhere' ? (tuple[5] as string) : senderZone,
		value: decodeValue(valueKinds[tuple[6] as number]!, tuple[7] as Tuple),
	};
};

const decodeHeartbeat = (tuple: Tuple): Heartbeat | undefined => {
	if (tuple[0] !== formatVersion) {
		return undefined;
	}

	const kind = messageKinds[tuple[1] as number]!;
	const common = {
		sequence: tuple[2] as number,
		from: decodeMember(tuple[3] as Tuple),
		updates: (tuple[4] as readonly Tuple[]).map((member) =>
			decodeMember(member),
		),
	};
	const message: MembershipMessage =
		kind === 'ping-request'
			? {kind, ...common, target: tuple[5] as string}
			: {kind, ...common};
	const [version, digest] = tuple[7] as readonly [number, string];
	return {
		message,
		stamp: {version, digest},
		digests: (tuple[6] as readonly Tuple[]).map((entry) =>
			decodeEntry(entry, common.from.availabilityZone),
		),
	};
};
