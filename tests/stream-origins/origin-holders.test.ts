import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import type {Member} from '../../src/membership/index.ts';
import {
	createOriginHolders,
	originKeyOf,
} from '../../src/stream-origins/index.ts';
import {memberOf} from '../fixtures.ts';

const regionOf = (zone: string): string => zone.slice(0, 1);

const holdersOf = (members: readonly Member[], self: Member) =>
	createOriginHolders({
		self: () => self,
		usable: () => members.filter(({id}) => id !== self.id),
		regionOf,
	});

const idsOf = (members: readonly Member[]): readonly string[] =>
	members.map(({id}) => id);

const deployments = fc
	.array(fc.constantFrom('a1', 'a2', 'b1', 'b2', 'c1'), {
		minLength: 2,
		maxLength: 24,
	})
	.map((zones) => zones.map((zone, index) => memberOf(`node-${index}`, zone)));

test('each node asks the nodes that keep a record, whichever node wrote it', (t: TestContext) => {
	fc.assert(
		fc.property(deployments, fc.string(), (members, requestId) => {
			const key = originKeyOf(requestId);
			for (const writer of members) {
				const keepers = new Set([
					writer.id,
					...idsOf(holdersOf(members, writer).toRecordAt(key)),
				]);
				for (const reader of members) {
					const asked = idsOf(holdersOf(members, reader).toAsk(key));
					const isNear =
						regionOf(reader.availabilityZone) ===
						regionOf(writer.availabilityZone);
					const isFound =
						keepers.has(reader.id) || asked.some((id) => keepers.has(id));
					const hasFar = members.some(
						({availabilityZone}) =>
							regionOf(availabilityZone) !== regionOf(writer.availabilityZone),
					);
					t.assert.ok(isFound || (!isNear && !hasFar));
				}
			}
		}),
		{numRuns: 60},
	);
});

test('a record is kept in another zone of the region and in another region, where they exist', (t: TestContext) => {
	fc.assert(
		fc.property(deployments, fc.string(), (members, requestId) => {
			const key = originKeyOf(requestId);
			for (const writer of members) {
				const {availabilityZone: zone} = writer;
				const others = members.filter(({id}) => id !== writer.id);
				const kept = holdersOf(members, writer).toRecordAt(key);
				const isInOtherZone = (member: Member) =>
					member.availabilityZone !== zone &&
					regionOf(member.availabilityZone) === regionOf(zone);
				const isFar = (member: Member) =>
					regionOf(member.availabilityZone) !== regionOf(zone);
				t.assert.ok(!idsOf(kept).includes(writer.id));
				t.assert.strictEqual(
					kept.some((member) => isInOtherZone(member)),
					others.some((member) => isInOtherZone(member)),
				);
				t.assert.strictEqual(
					kept.some((member) => isFar(member)),
					others.some((member) => isFar(member)),
				);
			}
		}),
		{numRuns: 60},
	);
});

test('two records and at most four questions are sent, however many nodes there are', (t: TestContext) => {
	const zones = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
	const members = Array.from({length: 380}, (_, index) =>
		memberOf(`node-${index}`, zones[index % zones.length]!),
	);
	const holders = holdersOf(members, members[0]!);
	for (let index = 0; index < 200; index += 1) {
		const key = originKeyOf(`request-${index}`);
		t.assert.strictEqual(holders.toRecordAt(key).length, 2);
		t.assert.ok(holders.toAsk(key).length <= 4);
	}
});
