import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createBackendFleet,
	probeAnswerDeadlineMs,
	silenceThresholdMs,
	type Placement,
	type ServiceLoad,
} from '../../../src/backends/index.ts';
import {createUpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import type {Exchange} from '../../../src/gateway/exchange.ts';
import type {DisabledMechanisms} from '../../../src/mechanisms/index.ts';
import {createRandom} from '../../../src/shared/index.ts';
import {memberOf} from '../../fixtures.ts';
import {exchangeOf, fleetOptionsOf, routeOf} from '../fixtures.ts';

const setUp = (options: {
	readonly localServers?: number;
	readonly loads?: Readonly<Record<string, ServiceLoad>>;
	readonly promptRegion?: string;
	readonly promptServer?: string;
	readonly members?: readonly string[];
	readonly nodesPerRegion?: number;
	readonly connected?: readonly string[];
	readonly without?: DisabledMechanisms;
	readonly regionToMoveTo?: string;
	readonly maximumRegionCost?: number;
}) => {
	const fleet = createBackendFleet(
		fleetOptionsOf({
			availabilityZone: 'home',
			knownNodes: () => ['self'],
		}),
	);
	fleet.sync(
		new Map(
			Array.from({length: options.localServers ?? 1}, (_, index) => [
				`local-${index}`,
				{
					coldUntil: 0,
					server: {
						id: `local-${index}`,
						service: 'engine',
						address: '10.0.0.1:80',
						availabilityZone: 'home',
						slots: 2,
						isLeaving: false,
						coldMs: 0,
					},
				},
			]),
		),
		0,
	);
	const choose = createUpstreamChooser({
		self: () => memberOf('self', 'home'),
		localRegion: 'home',
		without: options.without ?? new Set(),
		fleet,
		regions: ['home', 'near', 'far'],
		membersIn: (region) =>
			(options.members ?? ['near', 'far']).includes(region)
				? Array.from({length: options.nodesPerRegion ?? 1}, (_, index) =>
						memberOf(`node-${region}-${index}`, region),
					)
				: [],
		loadIn: (region) => options.loads?.[region] ?? {load: 0, slots: 8},
		promptHome: () =>
			options.promptRegion === undefined
				? undefined
				: {
						id: options.promptServer ?? 'server',
						region: options.promptRegion,
					},
		regionToMoveTo: () => options.regionToMoveTo,
		maximumRegionCost: () => options.maximumRegionCost,
		hasIdleConnection: ({id}) => options.connected?.includes(id) ?? false,
		random: createRandom(1),
	});
	return {fleet, choose};
};

const placementOf = (change: Partial<Placement> = {}): Placement => ({
	service: 'engine',
	promptTokens: 0,
	targetMs: 1000,
	excluded: new Set<string>(),
	...change,
});

const nothingTried = {
	regions: new Set<string>(),
	members: new Set<string>(),
};

const regionOf = (
	chosen: ReturnType<ReturnType<typeof createUpstreamChooser>>,
) => (chosen.kind === 'peer' ? chosen.region : chosen.kind);

const forwarded: Partial<Exchange> = {
	hop: {
		origin: 'other',
		excluded: [],
		canWait: false,
		softwareVersion: undefined,
	},
};

test('a request is served in the local region while that has capacity', () => {
	const {choose} = setUp({});
	assert.equal(
		regionOf(choose(exchangeOf(), nothingTried, placementOf(), 0)),
		'server',
	);
});

test('requests of a route with home regions never leave them, neither at the origin nor at the receiver', () => {
	const {choose} = setUp({promptRegion: 'far'});
	const route = routeOf({homeRegions: ['near']});
	const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	assert.equal(
		regionOf(choose(exchangeOf({route}), nothingTried, placement, 0)),
		'near',
	);
	assert.equal(
		regionOf(
			choose(exchangeOf({route, ...forwarded}), nothingTried, placement, 0),
		),
		'none',
	);
});

test('a forwarded request is never forwarded again, even without a local server', () => {
	const {choose} = setUp({localServers: 0, promptRegion: 'near'});
	const chosen = choose(
		exchangeOf(forwarded),
		nothingTried,
		placementOf({sharedPart: {id: 'p', tokens: 9000}}),
		0,
	);
	assert.equal(regionOf(chosen), 'none');
});

test('a prompt goes to its home region, unless that is full or unreachable', () => {
	const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	const place = (options: Parameters<typeof setUp>[0]) =>
		regionOf(
			setUp({promptRegion: 'far', ...options}).choose(
				exchangeOf(),
				nothingTried,
				placement,
				0,
			),
		);
	assert.equal(place({}), 'far');
	assert.equal(place({loads: {far: {load: 20, slots: 8}}}), 'server');
	assert.equal(place({members: ['near']}), 'server');
});

test('a full region overflows to the least loaded other one, and queues requests if all are full', () => {
	const {choose, fleet} = setUp({
		loads: {near: {load: 6, slots: 8}, far: {load: 1, slots: 8}},
	});
	for (let index = 0; index < 4; index += 1) {
		fleet.begin('local-0', placementOf(), 0);
	}

	const exchange = exchangeOf();
	assert.equal(
		regionOf(choose(exchange, nothingTried, placementOf(), 0)),
		'far',
	);
	const tried = {regions: new Set(['far', 'near']), members: new Set<string>()};
	assert.equal(regionOf(choose(exchange, tried, placementOf(), 0)), 'full');
});

test('a region whose servers are all silent sends new requests to one with free slots, however loaded, and lets them wait if there is none', () => {
	const chosenAt = (load: number) => {
		const loads = {
			near: {load: 8, slots: 8},
			far: {load, slots: 8},
		};
		const {choose, fleet} = setUp({loads, maximumRegionCost: 0.5});
		fleet.begin('local-0', placementOf(), 0);
		fleet.tick(silenceThresholdMs + 1);
		const now = silenceThresholdMs + 1 + probeAnswerDeadlineMs;
		fleet.tick(now);
		const urgent = placementOf({priority: 0});
		const region = regionOf(choose(exchangeOf(), nothingTried, urgent, now));
		assert.equal(fleet.lowestUrgencyFactor(), 1);
		return region;
	};

	assert.equal(chosenAt(7.8), 'far');
	assert.equal(chosenAt(8), 'full');
});

test('requests spread over the nodes with an idle connection, or over all nodes if there is none', () => {
	const chosen = (connected: readonly string[]) => {
		const {choose} = setUp({localServers: 0, nodesPerRegion: 6, connected});
		const members = new Set<string>();
		for (let turn = 0; turn < 200; turn += 1) {
			const choice = choose(exchangeOf(), nothingTried, placementOf(), 0);
			assert.equal(choice.kind, 'peer');
			if (choice.kind === 'peer') {
				members.add(choice.member.id);
			}
		}

		return [...members].toSorted();
	};

	assert.deepEqual(chosen(['node-near-2', 'node-near-4']), [
		'node-near-2',
		'node-near-4',
	]);
	assert.equal(chosen([]).length, 6);
});

test('long prompts for one server go through one node, and those for other servers through others', () => {
	const nodesFor = (promptServer: string) => {
		const {choose} = setUp({
			nodesPerRegion: 6,
			promptRegion: 'far',
			promptServer,
			connected: ['node-far-0', 'node-far-1'],
		});
		const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
		return new Set(
			Array.from({length: 50}, () => {
				const choice = choose(exchangeOf(), nothingTried, placement, 0);
				return choice.kind === 'peer' ? choice.member.id : choice.kind;
			}),
		);
	};

	assert.equal(nodesFor('server-1').size, 1);
	const all = Array.from({length: 40}, (_, index) => [
		...nodesFor(`server-${index}`),
	]).flat();
	assert.ok(new Set(all).size > 3);
});

const nearbyNodes = (without: DisabledMechanisms) => {
	const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	return Array.from({length: 60}, (_, index) => {
		const {choose} = setUp({
			members: ['home'],
			promptRegion: 'home',
			promptServer: `server-${index}`,
			without,
		});
		return regionOf(choose(exchangeOf(), nothingTried, placement, 0));
	});
};

test('a long prompt for a local server is not forwarded if nodes exchange their prefill backlogs', () => {
	assert.deepEqual([...new Set(nearbyNodes(new Set()))], ['server']);
});

test('if they do not exchange them, the prompt goes through the node hashed from the server, which may be this one', () => {
	const chosen = nearbyNodes(new Set(['told-reading']));
	assert.deepEqual([...new Set(chosen)].toSorted(), ['home', 'server']);
	const own = chosen.filter((region) => region === 'server').length;
	assert.ok(own > 15 && own < 45);
});

test('a long prompt stays here if its node had no capacity, or if the request was forwarded', () => {
	const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	for (let index = 0; index < 20; index += 1) {
		const {choose} = setUp({
			members: ['home'],
			promptRegion: 'home',
			promptServer: `server-${index}`,
		});
		const tried = {...nothingTried, regions: new Set(['home'])};
		assert.equal(regionOf(choose(exchangeOf(), tried, placement, 0)), 'server');
		assert.equal(
			regionOf(choose(exchangeOf(forwarded), nothingTried, placement, 0)),
			'server',
		);
	}
});

test('a request is moved on its first try, and neither a forwarded one nor one with a long shared part is', () => {
	const {choose} = setUp({regionToMoveTo: 'near'});
	const chosen = (
		exchange: Exchange,
		tried = nothingTried,
		placement = placementOf(),
	) => regionOf(choose(exchange, tried, placement, 0));

	assert.equal(chosen(exchangeOf()), 'near');
	assert.equal(chosen(exchangeOf(forwarded)), 'server');
	assert.equal(
		chosen(exchangeOf(), {...nothingTried, regions: new Set(['near'])}),
		'server',
	);
	const longPrompt = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	assert.equal(chosen(exchangeOf(), nothingTried, longPrompt), 'server');
});

test('a request is not moved out of its home regions', () => {
	const {choose} = setUp({regionToMoveTo: 'near'});
	const route = routeOf({homeRegions: ['home']});
	assert.equal(
		regionOf(choose(exchangeOf({route}), nothingTried, placementOf(), 0)),
		'server',
	);
});

test('a region that would refuse a request because of its urgency is not asked', () => {
	const loads = {near: {load: 7, slots: 8}, far: {load: 8, slots: 8}};
	const placement = placementOf({sharedPart: {id: 'p', tokens: 9000}});
	const chosenWith = (maximumRegionCost: number | undefined) => {
		const {choose} = setUp({localServers: 0, loads, maximumRegionCost});
		return regionOf(choose(exchangeOf(), nothingTried, placementOf({}), 0));
	};

	assert.equal(chosenWith(undefined), 'near');
	const home = setUp({promptRegion: 'far', loads, maximumRegionCost: 0.75});
	assert.equal(
		regionOf(home.choose(exchangeOf(), nothingTried, placement, 0)),
		'server',
	);
	const urgent = setUp({promptRegion: 'far', loads, maximumRegionCost: 1.25});
	assert.equal(
		regionOf(urgent.choose(exchangeOf(), nothingTried, placement, 0)),
		'far',
	);
});
