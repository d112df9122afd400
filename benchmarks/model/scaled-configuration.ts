import {Buffer} from 'node:buffer';
import type {
	Configuration,
	Policy,
	Strategy,
} from '../../src/configuration/index.ts';
import {createFleet, type Fleet} from '../../src/fleet/index.ts';
import type {GatewayRequest} from '../../src/requests/index.ts';
import {sha256} from '../../src/shared/index.ts';

/**
Sizes of a made-up deployment.
*/
export type Scale = {
	readonly workers: number;
	readonly zones: number;
	readonly clients: number;
	readonly policies: number;
};

const anything = {matchLabels: {}, matchExpressions: []};

const strategies: Readonly<Record<Strategy['kind'], Strategy>> = {
	'round-robin': {kind: 'round-robin'},
	'least-loaded': {kind: 'least-loaded'},
	'power-of-two': {kind: 'power-of-two'},
	'prefix-affinity': {kind: 'prefix-affinity', loadBound: 1.5},
	cheapest: {kind: 'cheapest', firstTokenObjectiveMs: 200},
	'home-first': {
		kind: 'home-first',
		overflowAtLoad: 0.9,
		advantage: 1.5,
		maximumAwayShare: 0.5,
	},
};

/**
A policy for a strategy that matches everything.
*/
export const policyOf = (kind: Strategy['kind']): Policy => ({
	name: kind,
	priority: 0,
	requests: anything,
	regions: anything,
	backendServers: anything,
	strategy: strategies[kind],
});

/**
A configuration of a given size.
*/
export const scaledConfiguration = ({
	workers,
	zones,
	clients,
	policies,
}: Scale): Configuration => ({
	version: 1,
	regions: Array.from({length: zones}, (_, index) => ({
		name: `region-${index}`,
		labels: {},
		availabilityZones: [`zone-${index}`],
	})),
	models: [{name: 'model', labels: {}}],
	services: [
		{kind: 'model', name: 'service', models: ['model'], repeatable: true},
	],
	backendServers: Array.from({length: workers}, (_, index) => ({
		id: `backend-server-${index}`,
		service: 'service',
		availabilityZone: `zone-${index % zones}`,
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
		labels: {engine: 'standard'},
		slots: 8,
		costPerThousandTokens: 1,
		checksFence: false,
	})),
	clients: Array.from({length: clients}, (_, index) => ({
		name: `client-${index}`,
		keySha256: sha256(`key-${index}`),
		labels: {},
		requestsPerSecond: 100,
		burst: 100,
		priority: 5,
		residencyRequired: false,
	})),
	policies: [
		...Array.from({length: policies - 1}, (_, index) => ({
			...policyOf('power-of-two'),
			name: `policy-${index}`,
			priority: 10,
			requests: {matchLabels: {group: String(index)}, matchExpressions: []},
		})),
		policyOf('power-of-two'),
	],
	objectives: [],
	timing: {
		betweenRegionsMs: 60,
		firstTokenMs: 30,
		perTokenMs: 10,
		requestTimeoutMs: 30_000,
	},
});

/**
A request under a strategy.
*/
export const requestOf = (
	configuration: Configuration,
	kind: Strategy['kind'],
): GatewayRequest => ({
	requestId: 'id',
	client: configuration.clients[0]!,
	service: configuration.services[0]!,
	model: 'model',
	isStreaming: true,
	labels: {weight: 'light', client: 'client-0'},
	claim: {requested: undefined, client: configuration.clients[0]!},
	homeRegion: 'region-0',
	priority: 5,
	deadline: 1_000_000,
	isRepeatable: true,
	session: '',
	prefixKey: '',
	method: 'POST',
	url: '/v1/chat/completions',
	contentType: 'application/json',
	body: Buffer.alloc(0),
	signal: new AbortController().signal,
	policy: policyOf(kind),
});

/**
A fleet of all servers of a configuration, each with a load report.
*/
export const createLoadedFleet = (configuration: Configuration): Fleet => {
	const fleet = createFleet();
	const {backendServers} = configuration;
	fleet.handle({kind: 'configured', backendServers}, 0);
	const report = {running: 3, queued: 0, slots: 8, incarnation: 'i'};
	for (const {id} of backendServers) {
		fleet.handle(
			{kind: 'load-reported', backendServer: id, report, observedAt: 0},
			0,
		);
	}

	return fleet;
};
