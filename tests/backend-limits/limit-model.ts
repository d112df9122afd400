import TinyQueue from 'tinyqueue';
import type {
	BackendLimits,
	LimitStatement,
} from '../../src/backend-limits/index.ts';
import type {Member} from '../../src/membership/index.ts';
import type {BackendLimitMessage} from '../../src/peers/backend-limit-messages.ts';
import {createRandom} from '../../src/shared/index.ts';
import {memberOf} from '../fixtures.ts';
import {maximumInWindow} from '../most-in-span.ts';

/**
Implementation by which a simulated node obeys a limit.
*/
export type LimitRule = Pick<
	BackendLimits,
	'recordStatement' | 'receive' | 'canSend' | 'recordSend' | 'tick'
>;

/**
View of the nodes that a rule has.
*/
export type LimitNode = {
	readonly self: string;
	/**
	The other nodes as known to this one; replaced by another array when they change.
	*/
	readonly others: () => readonly Member[];
	readonly lastHeard: () => number | undefined;
	readonly canUseLimitedServers: () => boolean;
	readonly send: (
		members: readonly Member[],
		message: BackendLimitMessage,
	) => void;
	readonly clock: () => number;
};

/**
A fault or change that affects some nodes, with times in milliseconds from the start.
*/
export type LimitEvent =
	/**
	A network partition between these nodes and the others; all nodes reach the server.
	*/
	| {
			readonly kind: 'cut';
			readonly from: number;
			readonly until: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	The nodes are suspended, and process the messages that arrived in the meantime when they resume.
	*/
	| {
			readonly kind: 'freeze';
			readonly from: number;
			readonly until: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	The nodes restart without state.
	*/
	| {
			readonly kind: 'restart';
			readonly from: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	The nodes receive no requests from then on.
	*/
	| {
			readonly kind: 'deserted';
			readonly from: number;
			readonly nodes: ReadonlySet<number>;
	  };

/**
Parameters of a simulation.
*/
export type LimitPlan = {
	readonly seed: number;
	readonly createRule: (node: LimitNode) => LimitRule;
	readonly nodes: number;
	/**
	Requests per second that callers send to each node.
	*/
	readonly wantedPerSecond: number;
	/**
	Limits and the times from which they apply; undefined for no limit.
	*/
	readonly limits: ReadonlyArray<{
		readonly from: number;
		readonly perSecond: number | undefined;
	}>;
	readonly events?: readonly LimitEvent[];
	readonly spanMs: number;
};

/**
A request that reached the server.
*/
export type LimitArrival = {readonly at: number; readonly node: number};

type Event = {readonly at: number; readonly run: () => void};

type NodeState = {
	rule: LimitRule;
	startedAt: number;
	heardAt: number | undefined;
	others: readonly Member[];
	frozenUntil: number;
	/**
	Events that arrived while the node was suspended.
	*/
	backlog: Array<() => void>;
};

const tickMs = 150;
// Time that nodes need to learn about the others after their start.
const settlingMs = 2500;
// A silent node is considered dead after about two seconds; the time differs between the other nodes.
const minimumDetectionMs = 1500;
const detectionSpreadMs = 1000;
const returnSpreadMs = 800;
const maximumMessageDelayMs = 80;
const lossRate = 0.02;
const regionalDelayMs = 4;
const minimumResponseMs = 20;
const maximumResponseMs = 900;

/**
Simulates nodes that share one server, without a network. Messages between nodes take up to 80 ms, and one in fifty is lost.
*/
export const simulateLimit = (plan: LimitPlan): readonly LimitArrival[] => {
	const random = createRandom(plan.seed);
	const queue = new TinyQueue<Event>([], (left, right) => left.at - right.at);
	const events = plan.events ?? [];
	const arrivals: LimitArrival[] = [];
	let now = 0;
	const clock = () => now;
	const after = (ms: number, run: () => void) => {
		queue.push({at: now + ms, run});
	};

	const isCut = (left: number, right: number): boolean =>
		events.some(
			(event) =>
				event.kind === 'cut' &&
				now >= event.from &&
				now < event.until &&
				event.nodes.has(left) !== event.nodes.has(right),
		);
	const hasNoCallers = (node: number): boolean =>
		events.some(
			(event) =>
				event.kind === 'deserted' && now >= event.from && event.nodes.has(node),
		);

	// Runs an action of a node, or defers it while the node is suspended.
	const runAction = (node: number, run: () => void) => {
		const state = states[node]!;
		if (now < state.frozenUntil) {
			state.backlog.push(run);
		} else {
			run();
		}
	};

	const nodeOf = (id: string): number => Number(id.slice('node-'.length));

	const deliver = (from: number, to: number, message: BackendLimitMessage) => {
		if (isCut(from, to) || random.fraction() < lossRate) {
			return;
		}

		after(random.below(maximumMessageDelayMs), () => {
			runAction(to, () => {
				states[to]!.rule.receive(message, now);
			});
		});
	};

	const start = (node: number, heardAt: number | undefined): NodeState => {
		const others = Array.from({length: plan.nodes}, (_, index) => index)
			.filter((index) => index !== node)
			.map((index) => memberOf(`node-${index}`, 'zone'));
		const state: NodeState = {
			rule: undefined as unknown as LimitRule,
			startedAt: heardAt === undefined ? now : -settlingMs - 1,
			heardAt,
			others: heardAt === undefined ? [] : others,
			frozenUntil: -Infinity,
			backlog: [],
		};
		state.rule = plan.createRule({
			self: `node-${node}`,
			others: () => state.others,
			lastHeard: () => state.heardAt,
			canUseLimitedServers: () => now - state.startedAt > settlingMs,
			send(members, message) {
				for (const {id} of members) {
					deliver(node, nodeOf(id), message);
				}
			},
			clock,
		});
		if (heardAt === undefined) {
			after(random.below(returnSpreadMs), () => {
				state.heardAt = now;
				state.others = others;
			});
		}

		return state;
	};

	const states: NodeState[] = Array.from({length: plan.nodes}, (_, node) =>
		start(node, 0),
	);

	const limitNow = (): number | undefined =>
		plan.limits.findLast(({from}) => now >= from)?.perSecond;

	const arrive = (node: number, sentAt: number) => {
		arrivals.push({at: now, node});
		const responseMs =
			minimumResponseMs + random.below(maximumResponseMs - minimumResponseMs);
		after(responseMs, () => {
			const perSecond = limitNow();
			const {rule} = states[node]!;
			after(regionalDelayMs, () => {
				runAction(node, () => {
					// Responses to requests of a previous incarnation are lost.
					if (states[node]!.rule !== rule) {
						return;
					}

					const statement: LimitStatement = {
						perSecond,
						earliest: sentAt,
						latest: now,
					};
					rule.recordStatement('server', statement, 'answer');
				});
			});
		});
	};

	const startCaller = (node: number) => {
		const gapMs = -Math.log(1 - random.fraction()) * 1000;
		after(gapMs / plan.wantedPerSecond, () => {
			runAction(node, () => {
				const {rule} = states[node]!;
				if (hasNoCallers(node) || !rule.canSend('server', now)) {
					return;
				}

				rule.recordSend('server', now);
				const sentAt = now;
				after(random.below(regionalDelayMs) + 1, () => {
					arrive(node, sentAt);
				});
			});
			startCaller(node);
		});
	};

	const tick = (node: number) => {
		after(tickMs, () => {
			runAction(node, () => {
				states[node]!.rule.tick(now);
			});
			tick(node);
		});
	};

	// Each node changes the status of the nodes on the other side after its own delay.
	const setStatusAcross = (
		nodes: ReadonlySet<number>,
		status: Member['status'],
		spreadMs: number,
	) => {
		for (const [node, state] of states.entries()) {
			after(spreadMs === 0 ? 0 : random.below(spreadMs), () => {
				state.others = state.others.map((member) =>
					nodes.has(nodeOf(member.id)) === nodes.has(node)
						? member
						: {...member, status},
				);
			});
		}
	};

	const rejoin = (nodes: ReadonlySet<number>) => {
		setStatusAcross(nodes, 'alive', returnSpreadMs);
		for (const node of nodes) {
			const state = states[node]!;
			const {backlog} = state;
			state.backlog = [];
			// A suspended node runs all deferred actions at once when it resumes.
			for (const run of backlog) {
				run();
			}
		}
	};

	const leave = ({
		kind,
		until,
		nodes,
	}: Extract<LimitEvent, {until: number}>) => {
		if (kind === 'freeze') {
			for (const node of nodes) {
				states[node]!.frozenUntil = until;
			}
		}

		after(minimumDetectionMs, () => {
			setStatusAcross(nodes, 'dead', detectionSpreadMs);
		});
	};

	const restart = (nodes: ReadonlySet<number>) => {
		for (const node of nodes) {
			states[node] = start(node, undefined);
		}
	};

	const schedule = (event: LimitEvent) => {
		switch (event.kind) {
			case 'cut':
			case 'freeze': {
				after(event.from, () => {
					leave(event);
				});
				after(event.until, () => {
					rejoin(event.nodes);
				});
				break;
			}

			case 'restart': {
				after(event.from, () => {
					restart(event.nodes);
				});
				break;
			}

			// Evaluated whenever a request would arrive.
			case 'deserted':
		}
	};

	for (const event of events) {
		schedule(event);
	}

	for (const node of states.keys()) {
		startCaller(node);
		after(random.below(tickMs), () => {
			tick(node);
		});
	}

	while (queue.length > 0) {
		const event = queue.pop()!;
		if (event.at > plan.spanMs) {
			break;
		}

		now = event.at;
		event.run();
	}

	return arrivals;
};

/**
Returns the maximum number of requests in any window.
*/
export const mostIn = (
	arrivals: readonly LimitArrival[],
	windowMs: number,
	from = 0,
	until = Infinity,
): number =>
	maximumInWindow(
		arrivals.map(({at}) => at).filter((at) => at >= from && at <= until),
		windowMs,
	);
