import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {
	parseConfiguration,
	type Configuration,
	type Policy,
	type Strategy,
} from '../src/configuration/index.ts';
import type {Member} from '../src/membership/index.ts';
import type {GatewayRequest} from '../src/requests/index.ts';
import {createRandom} from '../src/shared/index.ts';

/**
The text of an example configuration.
*/
export const exampleText = (name: 'ajoke' | 'lindner'): string =>
	readFileSync(`examples/${name}/configuration.yaml`, 'utf8');

/**
The Ajoke example, with parts replaced.
*/
export const exampleConfiguration = (
	change: Partial<Configuration> = {},
): Configuration => {
	const parsed = parseConfiguration(exampleText('ajoke'));
	if (parsed.isErr) {
		throw new Error(JSON.stringify(parsed.error));
	}

	return {...parsed.value.configuration, ...change};
};

/**
A policy that matches everything, with a strategy.
*/
export const policyWith = (
	strategy: Strategy,
	change: Partial<Policy> = {},
): Policy => ({
	name: 'test',
	priority: 0,
	requests: {matchLabels: {}, matchExpressions: []},
	regions: {matchLabels: {}, matchExpressions: []},
	backendServers: {matchLabels: {}, matchExpressions: []},
	strategy,
	...change,
});

/**
A living member of a zone.
*/
export const memberOf = (
	id: string,
	availabilityZone: string,
	change: Partial<Member> = {},
): Member => ({
	id,
	availabilityZone,
	peerAddress: '127.0.0.1:1',
	callerAddress: `127.0.0.1:${1000 + id.length}`,
	incarnation: 1,
	revision: 0,
	status: 'alive',
	...change,
});

/**
A request for the Ajoke model service.
*/
export const requestFor = (
	configuration: Configuration,
	change: Partial<GatewayRequest> = {},
): GatewayRequest => ({
	requestId: 'request',
	client: configuration.clients[0]!,
	service: configuration.services[0]!,
	model: 'scribe-8b',
	isStreaming: false,
	labels: {},
	claim: {requested: undefined, client: configuration.clients[0]!},
	homeRegion: 'abuja',
	priority: 5,
	deadline: 10_000,
	isRepeatable: true,
	session: '',
	prefixKey: 'prefix',
	method: 'POST',
	url: '/v1/chat/completions',
	contentType: 'application/json',
	body: Buffer.alloc(0),
	signal: new AbortController().signal,
	policy: policyWith({kind: 'power-of-two'}),
	...change,
});

/**
A random source that is the same in every run.
*/
export const fixedRandom = () => createRandom(7);
