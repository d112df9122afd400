import {test, type TestContext} from 'node:test';
import type {ServerInUse} from '../../../src/backends/index.ts';
import {
	createDemandSharing,
	demandIntervalMs,
} from '../../../src/gateway/sharing/demand-sharing.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import type {Member} from '../../../src/membership/index.ts';
import type {DemandMessage} from '../../../src/peers/demand-messages.ts';
import {createRouteTable} from '../../../src/routes/index.ts';
import {memberOf} from '../../fixtures.ts';
import {documentOf, routeOf, serviceOf} from '../fixtures.ts';

const service = 'engine';
const slots = 16;
const graded = createRouteTable(
	documentOf({
		routes: [0, 1, 2].map((priority) =>
			routeOf({name: `route-${priority}`, priority}),
		),
		services: [serviceOf({engine: {slots, memoryTokens: 1}})],
	}),
);

type Scene = {
	readonly zones: readonly string[];
	readonly routes?: typeof graded;
};

// Creates nodes whose messages arrive at once; zones `a` and `b` form one region, `c` another one.
const setUp = ({zones, routes = graded}: Scene) => {
	const members = zones.map((zone, index) => memberOf(`node-${index}`, zone));
	const regionOf = (zone: string) => (zone === 'c' ? 'other' : 'home');
	const gone = new Set<Member>();
	const cutZones = new Set<string>();
	const inFlight = members.map(() => 0);
	const others = members.map(() => new Map<string, number>());
	let sent: DemandMessage[] = [];
	let now = 0;
	const nodes = members.map((self, index) => {
		const usable = () =>
			members.filter((member) => member !== self && !gone.has(member));
		return createDemandSharing({
			mesh: {
				self: () => self,
				usable,
				send(receivers, message) {
					for (const to of receivers) {
						const isCut =
							to.availabilityZone !== self.availabilityZone &&
							(cutZones.has(to.availabilityZone) ||
								cutZones.has(self.availabilityZone));
						if (isCut || gone.has(to)) {
							continue;
						}

						const received = message as DemandMessage;
						sent.push(received);
						nodes[members.indexOf(to)]!.receive(received, now);
					}
				},
			},
			localRegion: regionOf(self.availabilityZone),
			regionOf,
			routes: () => routes,
			fleet: {
				requestsAt: (): readonly ServerInUse[] => [
					{
						id: `${regionOf(self.availabilityZone)}-server`,
						slots,
						inFlight: inFlight[index]!,
					},
				],
				recordPeerRequests(_service, counts) {
					for (const [server, count] of counts) {
						others[index]!.set(server, count);
					}
				},
			},
			nodesServing: () => members.length,
			ownCapacity: () => 10 + index,
			randomFraction: () => 0.5,
			without: new Set(),
			logger: silentLogger,
		});
	});
	return {
		nodes,
		members,
		inFlight,
		gone,
		cutZones,
		othersAt: (index: number) => others[index]!.get('home-server'),
		loadAt: (index: number, region: string) =>
			nodes[index]!.loads.of(region, service, now),
		messages() {
			const all = sent;
			sent = [];
			return all;
		},
		turn(count = 1) {
			for (let turn = 0; turn < count; turn += 1) {
				now += demandIntervalMs;
				for (const [index, node] of nodes.entries()) {
					if (!gone.has(members[index]!)) {
						node.tick(now);
					}
				}
			}
		},
	};
};

const zones = ['a', 'a', 'a', 'b', 'b', 'c'];

test('each node knows the requests of all other nodes of its region', (t: TestContext) => {
	const scene = setUp({zones});
	for (const [index, count] of [2, 3, 4, 5, 6, 50].entries()) {
		scene.inFlight[index] = count;
	}

	scene.turn(4);
	for (const index of [0, 1, 2, 3, 4]) {
		t.assert.strictEqual(scene.othersAt(index), 20 - scene.inFlight[index]!);
	}
});

test('each node knows the load of other regions', (t: TestContext) => {
	const scene = setUp({zones});
	scene.inFlight[5] = 7;
	scene.turn(4);
	for (const index of [0, 3]) {
		t.assert.strictEqual(scene.loadAt(index, 'other')?.load, 7);
	}

	t.assert.strictEqual(scene.loadAt(5, 'home')?.slots, slots);
});

test('a request that has ended no longer counts', (t: TestContext) => {
	const scene = setUp({zones});
	scene.inFlight[0] = 9;
	scene.turn(4);
	scene.inFlight[0] = 0;
	scene.turn(4);
	t.assert.strictEqual(scene.othersAt(4), 0);
});

for (const lost of [0, 1, 2]) {
	test(`the requests of a node that dies stop counting, also if it added up its zone (node ${lost})`, (t: TestContext) => {
		const scene = setUp({zones});
		for (const index of [0, 1, 2, 3, 4]) {
			scene.inFlight[index] = 4;
		}

		scene.turn(4);
		scene.gone.add(scene.members[lost]!);
		scene.turn(8);
		for (const index of [0, 1, 2, 3, 4]) {
			if (index !== lost) {
				t.assert.strictEqual(scene.othersAt(index), 12);
			}
		}
	});
}

test('a zone that is cut off is assumed to have as many requests as the others', (t: TestContext) => {
	const scene = setUp({zones: ['a', 'a', 'b', 'b']});
	for (const index of [0, 1, 2, 3]) {
		scene.inFlight[index] = 4;
	}

	scene.turn(4);
	scene.cutZones.add('b');
	scene.turn(8);
	t.assert.strictEqual(scene.othersAt(0), 12);
	scene.cutZones.clear();
	scene.inFlight[2] = 0;
	scene.turn(4);
	t.assert.strictEqual(scene.othersAt(0), 8);
});

test('a region that cannot be reached has no load after a while, so nothing is moved there', (t: TestContext) => {
	const scene = setUp({zones});
	scene.turn(4);
	scene.cutZones.add('c');
	scene.turn(8);
	t.assert.strictEqual(scene.loadAt(0, 'other'), undefined);
});

test('a node that joins is counted after its first report', (t: TestContext) => {
	const scene = setUp({zones});
	const late = scene.members[1]!;
	scene.gone.add(late);
	scene.turn(4);
	scene.gone.delete(late);
	scene.inFlight[1] = 6;
	scene.turn(3);
	t.assert.strictEqual(scene.othersAt(0), 6);
});

test('a node sends one report an interval, and only holders send to other zones', (t: TestContext) => {
	const scene = setUp({zones});
	scene.turn(4);
	scene.messages();
	scene.turn();
	const byKind = Map.groupBy(scene.messages(), ({kind}) => kind);
	t.assert.strictEqual(byKind.get('demand-node')?.length, 2 + 1);
	t.assert.strictEqual(byKind.get('demand-zone')?.length, 2);
	t.assert.strictEqual(byKind.get('demand-totals')?.length, 2 + 1);
});

test('each node knows the capacities of the nodes of its zone', (t: TestContext) => {
	const scene = setUp({zones});
	scene.turn(4);
	t.assert.strictEqual(scene.nodes[0]!.capacityOf('node-2', 1600), 12);
	t.assert.strictEqual(scene.nodes[0]!.capacityOf('node-3', 1600), undefined);
});

test('without three priorities of one service nothing is sent, and no server is filled by urgency', (t: TestContext) => {
	const scene = setUp({zones, routes: createRouteTable(documentOf())});
	scene.turn(4);
	t.assert.strictEqual(scene.messages().length, 0);
	t.assert.strictEqual(scene.nodes[0]!.urgencyLevels(service), undefined);
});
