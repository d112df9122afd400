import {Buffer} from 'node:buffer';
import type {TestContext} from 'node:test';
import {createTimeline} from '../../../benchmarks/model/engine-model.ts';
import {
	createBackendFleet,
	type BackendFleet,
	type OpenCall,
	type UpstreamCall,
	type UpstreamHead,
	type UpstreamListener,
} from '../../../src/backends/index.ts';
import {createUpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import {
	createDeliveries,
	type Deliveries,
} from '../../../src/gateway/delivery/delivery.ts';
import {
	decodeHopCall,
	encodeHopResult,
} from '../../../src/gateway/delivery/hop.ts';
import {createRouteDurations} from '../../../src/gateway/delivery/route-durations.ts';
import type {Exchange, ResponseSink} from '../../../src/gateway/exchange.ts';
import {rawHeader} from '../../../src/gateway/wire-headers.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import type {Member} from '../../../src/membership/index.ts';
import {createWindowRetryBudget} from '../../../src/retries/index.ts';
import type {Prompt, Route} from '../../../src/routes/index.ts';
import {
	createServerAnnouncements,
	createStatementHandler,
} from '../../../src/server-statements/index.ts';
import {createRandom, type Random} from '../../../src/shared/index.ts';
import {limitsOf} from '../../backend-limits/fixtures.ts';
import {memberOf} from '../../fixtures.ts';
import {
	exchangeOf,
	fleetOptionsOf,
	knownServerOf,
	names,
	originsOfOneVersion,
	serviceOf,
} from '../fixtures.ts';
import {
	createBatchEngine,
	type BatchEngine,
	type EngineTraits,
} from './batch-engine.ts';

/**
Size of a region.
*/
export type SimulatedRegion = {
	readonly name: string;
	readonly engines: number;
	readonly nodes: number;
};

/**
A request of a caller.
*/
export type SimulatedRequest = {
	readonly at: number;
	readonly region: string;
	readonly route: Route;
	readonly prompt: Prompt;
	/**
	Number of tokens that the engine generates.
	*/
	readonly tokens: number;
};

/**
How a request of a caller ended.
*/
export type SimulatedOutcome = {
	readonly request: SimulatedRequest;
	readonly end: 'served' | 'cut' | 'refused';
	readonly firstChunkMs: number | undefined;
	readonly endedAt: number;
	readonly retryAfterSeconds: number | undefined;
	/**
	The engine that began the response.
	*/
	readonly server: string | undefined;
};

const engineTraits: EngineTraits = {
	batch: 64,
	memoryTokens: 420_000,
	stepMs: 3.8,
	stepMsPerRequest: 0.09,
	prefillTokensPerMs: 56,
	pieceTokens: 2048,
	tokensPerChunk: 8,
};

const zoneDelayMs = 1;
const regionDelayMs = 80;
const nodeTickMs = 25;
const loadIntervalMs = 500;
const timerStepMs = 5;
const service = 'engine';

type SimulatedNode = {
	readonly member: Member;
	readonly region: string;
	readonly fleet: BackendFleet;
	readonly deliveries: Deliveries;
};

/**
Plays requests through gateways in several regions, with real choices and deliveries and a model of engines. All timers are
simulated.
*/
export const playStreams = (
	context: TestContext,
	regions: readonly SimulatedRegion[],
	requests: readonly SimulatedRequest[],
	seed: number,
): readonly SimulatedOutcome[] => {
	context.mock.timers.enable({apis: ['setTimeout']});
	const timeline = createTimeline();
	const random = createRandom(seed);
	const engines = new Map<string, BatchEngine>();
	const requestsById = new Map<string, SimulatedRequest>();
	const nodes: SimulatedNode[] = [];
	const loads = new Map<string, ReturnType<BackendFleet['loadOf']>>();
	const outcomes: SimulatedOutcome[] = [];

	const callEngine = (
		id: string,
		call: UpstreamCall,
		listener: UpstreamListener,
	): OpenCall => {
		const engine = engines.get(id)!;
		const requestId = rawHeader(call.headers, names.requestId)!;
		const request = requestsById.get(requestId)!;
		let withdraw: (() => void) | undefined;
		let isAborted = false;
		const afterTransit = (act: () => void) => {
			timeline.schedule(timeline.now() + zoneDelayMs, () => {
				if (!isAborted) {
					act();
				}
			});
		};

		afterTransit(() => {
			withdraw = engine.submit({
				promptTokens: request.prompt.tokensIn,
				tokens: request.tokens,
				urgency: request.route.priority,
				onStart() {
					const {running, waiting} = engine.load();
					afterTransit(() => {
						listener.onHead(
							headOf([
								names.requestId,
								requestId,
								names.signature,
								'signed',
								names.load,
								`${running},${waiting},${engineTraits.batch}`,
							]),
						);
					});
				},
				onChunk() {
					afterTransit(() => {
						listener.onData(Buffer.from('data: x\n\n'));
					});
				},
				onEnd() {
					afterTransit(() => {
						listener.onEnd();
					});
				},
			});
		});
		return {
			abort() {
				isAborted = true;
				withdraw?.();
			},
			resume: () => undefined,
		};
	};

	const callNode = (
		node: SimulatedNode,
		call: UpstreamCall,
		listener: UpstreamListener,
	): OpenCall => {
		let isAborted = false;
		let leave: (() => void) | undefined;
		const afterTransit = (act: () => void) => {
			timeline.schedule(timeline.now() + regionDelayMs, () => {
				if (!isAborted) {
					act();
				}
			});
		};

		const respond = (head: UpstreamHead) => {
			afterTransit(() => {
				listener.onHead(head);
			});
		};

		const sink: ResponseSink = {
			begin(_status, headers, server) {
				const result = {kind: 'answered', tried: [server]} as const;
				respond(headOf([...headers, ...encodeHopResult(result)]));
			},
			write(chunk) {
				afterTransit(() => {
					listener.onData(chunk);
				});
				return true;
			},
			end() {
				afterTransit(() => {
					listener.onEnd();
				});
			},
			abort() {
				afterTransit(() => {
					listener.onFailure({wasSent: true, reason: 'other side closed'});
				});
			},
			refuse({kind, outcome, message}, tried, availableInMs) {
				const result = {
					kind: 'refused',
					outcome,
					reason: message,
					tried,
					availableInMs,
					isLeaving: kind === 'leaving',
				} as const;
				respond(headOf(encodeHopResult(result), 503));
			},
			onDrain: () => undefined,
		};
		afterTransit(() => {
			const header = (name: string) => rawHeader(call.headers, name);
			const hop = decodeHopCall(header)!;
			const requestId = header(names.requestId)!;
			const {route, prompt} = requestsById.get(requestId)!;
			const now = timeline.now();
			const exchange = exchangeOf({
				requestId,
				headers: [names.requestId, requestId],
				route,
				service,
				prompt,
				receivedAt: now,
				expiresAt: now + hop.remainingMs,
				hop,
			});
			const delivery = node.deliveries.deliver(exchange, sink);
			leave = () => {
				delivery.callerLeft();
			};
		});
		return {
			abort() {
				isAborted = true;
				timeline.schedule(timeline.now() + regionDelayMs, () => leave?.());
			},
			resume: () => undefined,
		};
	};

	const client = {
		call(call: UpstreamCall, listener: UpstreamListener): OpenCall {
			const server = /^server (?<id>.+)$/v.exec(call.key)?.groups?.id;
			if (server !== undefined) {
				return callEngine(server, call, listener);
			}

			const node = nodes.find(
				({member}) => member.peerAddress === call.address,
			)!;
			return callNode(node, call, listener);
		},
		forget: () => undefined,
		connectionsOpened: () => 0,
		hasIdleConnection: () => true,
		close: async () => undefined,
	};

	const createNode = (
		{name: region, engines: count, nodes: size}: SimulatedRegion,
		index: number,
	): SimulatedNode => {
		const id = `${region}-${index}`;
		const member = memberOf(id, region, {peerAddress: id});
		const backendLimits = limitsOf();
		const announcements = createServerAnnouncements({
			logger: silentLogger,
			onLeaving: () => undefined,
			randomFraction: () => 0,
		});
		const fleet = createBackendFleet({
			...fleetOptionsOf({
				backendLimits,
				backoffs: announcements.backoffs,
				randomFraction: random.fraction,
				availabilityZone: region,
			}),
			nodesServing: () => size,
			service: () =>
				serviceOf({
					engine: {
						slots: engineTraits.batch,
						memoryTokens: engineTraits.memoryTokens,
					},
				}),
		});
		const servers = Array.from({length: count}, (_, engine) => {
			const server = knownServerOf(
				`${region}-engine-${engine}`,
				engineTraits.batch,
			);
			return {
				...server,
				server: {...server.server, availabilityZone: region},
			};
		});
		fleet.sync(new Map(servers.map((each) => [each.server.id, each])), 0);
		const choose = createUpstreamChooser({
			self: () => member,
			localRegion: region,
			fleet,
			membersIn: (other) =>
				nodes
					.filter((node) => node.region === other)
					.map((node) => node.member),
			regions: regions.map(({name}) => name),
			loadIn: (other) => loads.get(other) ?? {load: 0, slots: 0},
			promptHome: () => undefined,
			hasIdleConnection: () => true,
			random,
			without: new Set(),
		});
		const durations = createRouteDurations();
		const deliveries = createDeliveries({
			self: id,
			clock: timeline.now,
			headers: names,
			without: new Set(),
			fleet,
			client,
			choose,
			budget: createWindowRetryBudget({ratio: 0, windowMs: 10_000, slack: 0}),
			budgetNodes: () => 1,
			hasSettled: () => true,
			durations,
			exitsAt: () => Infinity,
			leavingNodes: () => new Set(),
			connectionShare: () => ({maximum: 1000, isPersistent: true}),
			routesVersion: () => 1,
			isOnlyRegion: () => false,
			isServedHere: () => true,
			isClientKnown: () => true,
			onPeerFailure: () => undefined,
			onServerFailure: () => undefined,
			onCallBroken: () => undefined,
			onServed: () => undefined,
			quarantineStatus: () => ({kind: 'clear'}),
			statements: createStatementHandler({
				headers: names,
				onLeaving: announcements.recordShutdown,
				onBackoff: announcements.recordBackoff,
				onLimit: backendLimits.recordStatement,
				onRefusalLimit: () => undefined,
				onFault: () => undefined,
			}),
			announcements,
			canSend: () => true,
			needsSlotLease: () => false,
			origins: originsOfOneVersion,
			regionsWithout: () => new Set(),
			backendLimits,
			onQueued: () => undefined,
			onHedge: () => undefined,
			onSparseEventIds: () => undefined,
			onRecord(record) {
				if (record.result === 'answered') {
					durations.record(record.exchange.route.name, record.totalMs);
				}
			},
		});
		return {member, region, fleet, deliveries};
	};

	for (const region of regions) {
		for (let index = 0; index < region.engines; index += 1) {
			engines.set(
				`${region.name}-engine-${index}`,
				createBatchEngine(timeline, engineTraits),
			);
		}

		for (let index = 0; index < region.nodes; index += 1) {
			nodes.push(createNode(region, index));
		}
	}

	const until =
		Math.max(...requests.map(({at, route}) => at + route.timeoutMs)) + 1000;
	scheduleNodes(timeline, nodes, loads, until);
	scheduleRequests(timeline, nodes, random, requests, {
		requestsById,
		outcomes,
	});
	for (let time = 0; time < until; time += timerStepMs) {
		timeline.run(time);
		context.mock.timers.tick(timerStepMs);
	}

	context.mock.timers.reset();
	return outcomes;
};

const headOf = (rawHeaders: readonly string[], status = 200): UpstreamHead => ({
	status,
	rawHeaders,
	header: (name) => rawHeader(rawHeaders, name),
});

const scheduleNodes = (
	timeline: ReturnType<typeof createTimeline>,
	nodes: readonly SimulatedNode[],
	loads: Map<string, ReturnType<BackendFleet['loadOf']>>,
	until: number,
): void => {
	for (let time = 0; time < until; time += nodeTickMs) {
		timeline.schedule(time, () => {
			for (const {deliveries} of nodes) {
				deliveries.tick(time);
			}
		});
	}

	// The first node of each region reports its load; the report takes the time between regions.
	for (let time = 0; time < until; time += loadIntervalMs) {
		timeline.schedule(time, () => {
			for (const {region, fleet, member} of nodes) {
				if (!member.id.endsWith('-0')) {
					continue;
				}

				const load = fleet.loadOf(service, time);
				timeline.schedule(time + regionDelayMs, () => {
					loads.set(region, load);
				});
			}
		});
	}
};

const scheduleRequests = (
	timeline: ReturnType<typeof createTimeline>,
	nodes: readonly SimulatedNode[],
	random: Random,
	requests: readonly SimulatedRequest[],
	results: {
		readonly requestsById: Map<string, SimulatedRequest>;
		readonly outcomes: SimulatedOutcome[];
	},
): void => {
	for (const [index, request] of requests.entries()) {
		const requestId = `request-${index}`;
		results.requestsById.set(requestId, request);
		timeline.schedule(request.at, () => {
			const local = nodes.filter(({region}) => region === request.region);
			const node = local[random.below(local.length)]!;
			let firstChunkAt: number | undefined;
			let server: string | undefined;
			const end = (
				how: SimulatedOutcome['end'],
				retryAfterSeconds?: number,
			) => {
				results.outcomes.push({
					request,
					end: how,
					firstChunkMs:
						firstChunkAt === undefined ? undefined : firstChunkAt - request.at,
					endedAt: timeline.now(),
					retryAfterSeconds,
					server,
				});
			};

			node.deliveries.deliver(
				exchangeOf({
					requestId,
					headers: [names.requestId, requestId],
					route: request.route,
					service,
					prompt: request.prompt,
					receivedAt: request.at,
					expiresAt: request.at + request.route.timeoutMs,
				}),
				{
					begin(_status, _headers, from) {
						server = from;
						firstChunkAt = timeline.now();
					},
					write: () => true,
					end() {
						end('served');
					},
					abort() {
						end('cut');
					},
					refuse({retryAfterSeconds}) {
						end('refused', retryAfterSeconds);
					},
					onDrain: () => undefined,
				},
			);
		});
	}
};
