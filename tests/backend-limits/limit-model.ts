import TinyQueue from 'tinyqueue';
import type {
	BackendLimits,
	LimitStatement,
} from '../../src/backend-limits/index.ts';
import type {Member} from '../../src/membership/index.ts';
import type {BackendLimitMessage} from '../../src/peers/backend-limit-messages.ts';
import {createRandom} from '../../src/shared/index.ts';
import {memberOf} from '../fixtures.ts';
import {mostInSpan} from '../most-in-span.ts';

/**
What a node keeps a limit by.
*/
export type LimitRule = Pick<
	BackendLimits,
	'recordStatement' | 'receive' | 'canSend' | 'recordSend' | 'tick'
>;

/**
What a rule knows of the nodes.
*/
export type LimitNode = {
	readonly self: string;
	/**
	The other nodes as this one sees them; replaced when they change.
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
What happens to some nodes, in milliseconds from the start.
*/
export type LimitEvent =
	/**
	They and the others hear nothing of each other; all reach the server.
	*/
	| {
			readonly kind: 'cut';
			readonly from: number;
			readonly until: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	They stand still, and find what came meanwhile when they go on.
	*/
	| {
			readonly kind: 'freeze';
			readonly from: number;
			readonly until: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	They start again and know nothing.
	*/
	| {
			readonly kind: 'restart';
			readonly from: number;
			readonly nodes: ReadonlySet<number>;
	  }
	/**
	They get no callers from then on.
	*/
	| {
			readonly kind: 'deserted';
			readonly from: number;
			readonly nodes: ReadonlySet<number>;
	  };

/**
What is played.
*/
export type LimitPlan = {
	readonly seed: number;
	readonly createRule: (node: LimitNode) => LimitRule;
	readonly nodes: number;
	/**
	Requests a second that each node would like to send to the server.
	*/
	readonly wantedPerSecond: number;
	/**
	The limit from each moment on; undefined for none.
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
	What came while it stood still.
	*/
	backlog: Array<() => void>;
};

const tickMs = 150;
// As long as nodes take to hear of the others after their start.
const settlingMs = 2500;
// A node that says nothing is taken for dead after some two seconds, by each other node in its own time.
const shortestDetectionMs = 1500;
const detectionSpreadMs = 1000;
const returnSpreadMs = 800;
const longestTellingMs = 80;
const lostPart = 0.02;
const nearDelayMs = 4;
const shortestAnswerMs = 20;
const longestAnswerMs = 900;

/**
Plays nodes that share one server, without a network: what they tell each other takes up to 80 ms, and one message in fifty
is lost.
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
	const isDeserted = (node: number): boolean =>
		events.some(
			(event) =>
				event.kind === 'deserted' && now >= event.from && event.nodes.has(node),
		);

	// What a node does, or does later if it stands still.
	const act = (node: number, run: () => void) => {
		const state = states[node]!;
		if (now < state.frozenUntil) {
			state.backlog.push(run);
		} else {
			run();
		}
	};

	const nodeOf = (id: string): number => Number(id.slice('node-'.length));

	const pass = (from: number, to: number, message: BackendLimitMessage) => {
		if (isCut(from, to) || random.fraction() < lostPart) {
			return;
		}

		after(random.below(longestTellingMs), () => {
			act(to, () => {
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
					pass(node, nodeOf(id), message);
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
		const answerMs =
			shortestAnswerMs + random.below(longestAnswerMs - shortestAnswerMs);
		after(answerMs, () => {
			const perSecond = limitNow();
			const {rule} = states[node]!;
			after(nearDelayMs, () => {
				act(node, () => {
					// The answer of a request of an earlier life is lost.
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

	const want = (node: number) => {
		const pause = -Math.log(1 - random.fraction()) * 1000;
		after(pause / plan.wantedPerSecond, () => {
			act(node, () => {
				const {rule} = states[node]!;
				if (isDeserted(node) || !rule.canSend('server', now)) {
					return;
				}

				rule.recordSend('server', now);
				const sentAt = now;
				after(random.below(nearDelayMs) + 1, () => {
					arrive(node, sentAt);
				});
			});
			want(node);
		});
	};

	const tick = (node: number) => {
		after(tickMs, () => {
			act(node, () => {
				states[node]!.rule.tick(now);
			});
			tick(node);
		});
	};

	// Each side takes the other for dead, in its own time.
	const separate = (
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
		separate(nodes, 'alive', returnSpreadMs);
		for (const node of nodes) {
			const state = states[node]!;
			const {backlog} = state;
			state.backlog = [];
			// In a frozen node all that is due happens at once.
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

		after(shortestDetectionMs, () => {
			separate(nodes, 'dead', detectionSpreadMs);
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

			// Asked for when a caller would come.
			case 'deserted':
		}
	};

	for (const event of events) {
		schedule(event);
	}

	for (const node of states.keys()) {
		want(node);
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
The most requests in any span.
*/
export const mostIn = (
	arrivals: readonly LimitArrival[],
	spanMs: number,
	from = 0,
	until = Infinity,
): number =>
	mostInSpan(
		arrivals.map(({at}) => at).filter((at) => at >= from && at <= until),
		spanMs,
	);
