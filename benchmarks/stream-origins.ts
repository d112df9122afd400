// Ways to keep the version that began a stream where another node finds it: which share is found after a failure, and what the
// records cost. Holders and datagrams are those of the product.
import type {Member} from '../src/membership/index.ts';
import {createPeerMessageCodec} from '../src/peers/peer-message-codec.ts';
import {createSealer} from '../src/peers/seal.ts';
import {createRandom, type Random} from '../src/shared/index.ts';
import {createOriginHolders, originKeyOf} from '../src/stream-origins/index.ts';
import {printTable, type Row} from './table.ts';

const nodes = 380;
const streamsPerSecond = 3200;
const packetHeaderBytes = 28;
const lossFraction = 0.1;
const samples = 3000;

const zones = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const regionOf = (zone: string): string => zone.slice(0, 1);

const members: readonly Member[] = Array.from({length: nodes}, (_, index) => ({
	id: `node-${index}`,
	availabilityZone: zones[index % zones.length]!,
	peerAddress: '10.0.0.1:1',
	callerAddress: '10.0.0.1:2',
	incarnation: 1,
	revision: 0,
	status: 'alive',
}));

type Holders = {
	readonly recordedAt: readonly Member[];
	readonly asked: readonly Member[];
};

const holdersOf = (self: Member, key: string): Holders => {
	const holders = createOriginHolders({
		self: () => self,
		usable: () => members.filter(({id}) => id !== self.id),
		regionOf,
	});
	return {recordedAt: holders.toRecordAt(key), asked: holders.toAsk(key)};
};

type Way = {
	readonly name: string;
	readonly recordedAt: (writer: Member, key: string) => readonly Member[];
	readonly asked: (reader: Member, key: string) => readonly Member[];
};

const isNear = (left: Member, right: Member): boolean =>
	regionOf(left.availabilityZone) === regionOf(right.availabilityZone);

const ways: readonly Way[] = [
	{
		name: 'only at the node that began it, all nodes are asked',
		recordedAt: () => [],
		asked: (reader) => members.filter(({id}) => id !== reader.id),
	},
	{
		name: 'one of the region',
		recordedAt: (writer, key) =>
			holdersOf(writer, key).recordedAt.filter((each) => isNear(each, writer)),
		asked: (reader, key) => holdersOf(reader, key).asked,
	},
	{
		name: 'one of the region, one of another',
		recordedAt: (writer, key) => holdersOf(writer, key).recordedAt,
		asked: (reader, key) => holdersOf(reader, key).asked,
	},
	{
		name: 'two of the region, one of another',
		recordedAt(writer, key) {
			const {recordedAt, asked} = holdersOf(writer, key);
			return [
				...new Set([
					...recordedAt,
					...asked.filter((each) => isNear(each, writer)),
				]),
			];
		},
		asked: (reader, key) => holdersOf(reader, key).asked,
	},
];

type Failure = {
	readonly name: string;
	/**
	Returns whether a node still has the records that it received, given the node that began the stream.
	*/
	readonly createHas: (
		writer: Member,
		random: Random,
	) => (member: Member) => boolean;
	readonly loss: number;
};

const failures: readonly Failure[] = [
	{
		name: 'its node ends',
		createHas: (writer) => (member) => member.id !== writer.id,
		loss: 0,
	},
	{
		name: 'its zone ends',
		createHas: (writer) => (member) =>
			member.availabilityZone !== writer.availabilityZone,
		loss: 0,
	},
	{
		name: 'its region ends',
		createHas: (writer) => (member) => !isNear(member, writer),
		loss: 0,
	},
	{
		name: 'half of all nodes restart',
		createHas(writer, random) {
			const gone = new Set(
				members.filter(() => random.fraction() < 0.5).map(({id}) => id),
			).add(writer.id);
			return ({id}) => !gone.has(id);
		},
		loss: 0,
	},
	{
		name: 'its node ends, a tenth of datagrams is lost',
		createHas: (writer) => (member) => member.id !== writer.id,
		loss: lossFraction,
	},
];

const foundFraction = (way: Way, failure: Failure, random: Random): number => {
	let found = 0;
	for (let sample = 0; sample < samples; sample += 1) {
		const key = originKeyOf(`request-${sample}`);
		const writer = members[random.below(nodes)]!;
		const has = failure.createHas(writer, random);
		const hasArrived = () => random.fraction() >= failure.loss;
		const keepers = new Set(
			[writer, ...way.recordedAt(writer, key).filter(() => hasArrived())]
				.filter((member) => has(member))
				.map(({id}) => id),
		);
		const readers = members.filter((member) => has(member));
		const reader = readers[random.below(readers.length)]!;
		// A question is repeated once; it and its answer have to arrive.
		const isAnswered = way
			.asked(reader, key)
			.filter(({id}) => keepers.has(id))
			.some(() => [0, 1].some(() => hasArrived() && hasArrived()));
		found += isAnswered || keepers.has(reader.id) ? 1 : 0;
	}

	return found / samples;
};

const recordBytes = (): number => {
	const codec = createPeerMessageCodec(createSealer('key'));
	const [datagram] = codec.encode({
		kind: 'stream-origins',
		from: 'edge-portharcourt-12',
		records: [
			{
				key: originKeyOf('request'),
				service: 'quill-scribes',
				softwareVersion: 'v1.12',
				lifeMs: 16_000,
			},
		],
	});
	return datagram!.length + packetHeaderBytes;
};

/**
Prints for each way the share of streams that are found, and the cost.
*/
export const measureStreamOrigins = (): readonly Row[] => {
	const [first] = members;
	const rows = ways.map((way) => {
		const random = createRandom(7);
		const sent = way.recordedAt(first!, originKeyOf('request')).length;
		return {
			way: way.name,
			...Object.fromEntries(
				failures.map((failure) => [
					failure.name,
					foundFraction(way, failure, random),
				]),
			),
			'bytes a second a node':
				(streamsPerSecond / nodes) * sent * recordBytes(),
			'asked a search': way.asked(first!, originKeyOf('request')).length,
		};
	});
	printTable(rows);
	return rows;
};
