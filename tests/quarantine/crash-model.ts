import TinyQueue from 'tinyqueue';
import type {Crash, CrashLedger} from '../../src/quarantine/index.ts';
import {createRandom} from '../../src/shared/index.ts';

/**
What a node decides by.
*/
export type CrashRule = Pick<
	CrashLedger,
	'addCrash' | 'served' | 'evaluate' | 'status'
>;

/**
What is played.
*/
export type CrashScenario = {
	readonly seed: number;
	readonly createRule: () => CrashRule;
	readonly nodes: number;
	readonly servers: number;
	/**
	Requests a second that crash nothing, and how long they run at the most, in milliseconds.
	*/
	readonly perSecond: number;
	readonly longestRunMs: number;
	/**
	Requests that crash servers, and milliseconds between two tries of one of them.
	*/
	readonly fatal: number;
	readonly fatalEveryMs: number;
	readonly maximumAttempts: number;
	/**
	Crashes from which on a suspect is tried at a server without other suspects of its node, and waits for one.
	*/
	readonly isolatedFrom: number;
	/**
	How long it waits for one at the most, in milliseconds.
	*/
	readonly maximumIsolationWaitMs: number;
	/**
	When all servers of a zone, a third of them, lose power; no request is at fault.
	*/
	readonly powerLossAt?: number;
	readonly spanMs: number;
};

/**
What came of it.
*/
export type CrashResult = {
	readonly crashes: number;
	/**
	Sends of fatal requests later than `tellingMs` after their third crash, the most of any of them.
	*/
	readonly lateSends: number;
	/**
	Requests that crash nothing: how many there were, were refused for crashes, and were lost to one.
	*/
	readonly others: number;
	readonly refused: number;
	readonly lost: number;
};

/**
How long nodes have to tell each other of a third crash, in milliseconds.
*/
export const reportDeadlineMs = 5000;

type Request = {
	readonly fingerprint: string;
	readonly isFatal: boolean;
	attempts: number;
	callerTries: number;
	readonly until: number;
	waitingSince: number;
	excluded: Set<number>;
};

type Run = {
	readonly request: Request;
	readonly node: number;
	readonly sentAt: number;
};

type Server = {life: number; isUp: boolean; runs: Set<Run>};

type Event = {readonly at: number; readonly run: () => void};

// A server that crashed is back after so long, as it was in the spells that were seen.
const downMs = 2500;
const tickMs = 150;
const nearDelayMs = 5;
const farDelayMs = 80;
const waitMs = 100;
const lifetimeMs = 4000;
const firstTryAgainMs = 300;

/**
Plays nodes, servers and callers without a network; what nodes tell each other takes 5 to 80 ms, and one message in fifty
is lost.
*/
export const simulateCrashes = (plan: CrashScenario): CrashResult => {
	const random = createRandom(plan.seed);
	const queue = new TinyQueue<Event>([], (left, right) => left.at - right.at);
	const rules = Array.from({length: plan.nodes}, plan.createRule);
	const servers: Server[] = Array.from({length: plan.servers}, () => ({
		life: 0,
		isUp: true,
		runs: new Set(),
	}));
	const ended = new Map<string, number[]>();
	const late = new Map<string, number>();
	const result = {crashes: 0, others: 0, refused: 0, lost: 0};
	let now = 0;

	const after = (ms: number, run: () => void) => {
		queue.push({at: now + ms, run});
	};

	const crashesOf = (request: Request, node: number): number => {
		const standing = rules[node]!.status(request.fingerprint, now);
		return standing.kind === 'suspect' ? standing.crashes : 0;
	};

	const mostCrashesAt = (server: Server, node: number): number =>
		Math.max(
			0,
			...[...server.runs]
				.filter((run) => run.node === node)
				.map(({request}) => crashesOf(request, node)),
		);

	// A trial is alone among the suspects of its node: it keeps others away, and waits for a server that has none.
	const choose = (request: Request, node: number): Server | undefined => {
		const crashes = crashesOf(request, node);
		const fit = servers.filter(
			(server, index) =>
				server.isUp &&
				!request.excluded.has(index) &&
				(crashes === 0 ||
					now - request.waitingSince > plan.maximumIsolationWaitMs ||
					isFreeFor(server, node, crashes)),
		);
		const costs = fit.map((server) => ({
			server,
			cost: server.runs.size + random.fraction(),
		}));
		return costs.toSorted((left, right) => left.cost - right.cost)[0]?.server;
	};

	const isFreeFor = (
		server: Server,
		node: number,
		crashes: number,
	): boolean => {
		const others = mostCrashesAt(server, node);
		return (
			others === 0 ||
			(crashes < plan.isolatedFrom && others < plan.isolatedFrom)
		);
	};

	const refuse = (request: Request) => {
		result.refused += request.isFatal ? 0 : 1;
	};

	const lose = (request: Request) => {
		result.lost += request.isFatal ? 0 : 1;
	};

	const send = (request: Request, node: number) => {
		const standing = rules[node]!.status(request.fingerprint, now);
		if (standing.kind === 'quarantined') {
			refuse(request);
			return;
		}

		const server =
			standing.kind === 'pending' ? undefined : choose(request, node);
		if (!server && now > request.until) {
			lose(request);
			return;
		}

		if (!server) {
			request.waitingSince = Math.min(request.waitingSince, now);
			after(waitMs, () => {
				send(request, node);
			});
			return;
		}

		const run = {request, node, sentAt: now};
		request.attempts += 1;
		request.waitingSince = Infinity;
		request.excluded.add(servers.indexOf(server));
		server.runs.add(run);
		noteSend(request);
		const {life} = server;
		after(
			request.isFatal
				? random.fraction() * 100
				: random.fraction() * plan.longestRunMs,
			() => {
				if (server.life !== life || !server.runs.has(run)) {
					return;
				}

				if (request.isFatal) {
					crash(server);
				} else {
					server.runs.delete(run);
					rules[node]!.served(request.fingerprint);
				}
			},
		);
	};

	const noteSend = ({fingerprint, isFatal}: Request) => {
		const third = ended.get(fingerprint)?.[2] ?? Infinity;
		if (isFatal && now > third + reportDeadlineMs) {
			late.set(fingerprint, (late.get(fingerprint) ?? 0) + 1);
		}
	};

	const crash = (server: Server) => {
		const incarnationId = `${servers.indexOf(server)} ${server.life}`;
		const runs = [...server.runs];
		server.runs = new Set();
		server.isUp = false;
		server.life += 1;
		result.crashes += 1;
		after(downMs, () => {
			server.isUp = true;
		});
		for (const {request} of runs.filter((run) => run.request.isFatal)) {
			const {fingerprint} = request;
			ended.set(fingerprint, [...(ended.get(fingerprint) ?? []), now]);
		}

		for (const [node, seen] of Map.groupBy(runs, (run) => run.node)) {
			after(nearDelayMs, () => {
				tell(node, incarnationId, seen);
			});
			for (const run of seen) {
				goOn(run);
			}
		}
	};

	// A node tells at its next tick what it saw itself; it knows at once.
	const tell = (node: number, incarnationId: string, seen: readonly Run[]) => {
		const at = now - nearDelayMs;
		const crashOf = (offset: number): Crash => ({
			incarnationId,
			at: at + offset,
			runs: seen.map(({request, sentAt}) => ({
				fingerprint: request.fingerprint,
				sentAt: sentAt + offset,
			})),
		});
		rules[node]!.addCrash(crashOf(0), now);
		const toldAfter = random.fraction() * tickMs;
		for (const [other, rule] of rules.entries()) {
			if (other === node || random.fraction() < 0.02) {
				continue;
			}

			const delay =
				nearDelayMs + random.fraction() * (farDelayMs - nearDelayMs);
			hearLater(rule, crashOf(delay), toldAfter + delay);
		}
	};

	const hearLater = (rule: CrashRule, told: Crash, ms: number) => {
		after(ms, () => {
			rule.addCrash(told, now);
		});
	};

	const goOn = ({request, node}: Run) => {
		if (request.attempts < plan.maximumAttempts) {
			send(request, node);
			return;
		}

		if (request.callerTries > 0) {
			lose(request);
			return;
		}

		request.callerTries += 1;
		request.attempts = 0;
		request.excluded = new Set();
		after(firstTryAgainMs * random.fraction(), () => {
			send(request, random.below(plan.nodes));
		});
	};

	const newRequest = (fingerprint: string, isFatal: boolean): Request => ({
		fingerprint,
		isFatal,
		attempts: 0,
		callerTries: 0,
		until: now + lifetimeMs,
		waitingSince: Infinity,
		excluded: new Set(),
	});

	const arrive = () => {
		result.others += 1;
		send(newRequest(`other ${result.others}`, false), random.below(plan.nodes));
		after((-Math.log(1 - random.fraction()) * 1000) / plan.perSecond, arrive);
	};

	const arriveFatal = (index: number) => {
		send(newRequest(`fatal ${index}`, true), random.below(plan.nodes));
		after(plan.fatalEveryMs * (0.5 + random.fraction()), () => {
			arriveFatal(index);
		});
	};

	const tick = (node: number) => {
		rules[node]!.evaluate(now);
		after(tickMs, () => {
			tick(node);
		});
	};

	arrive();
	for (let index = 0; index < plan.fatal; index += 1) {
		after(2000 + 300 * index, () => {
			arriveFatal(index);
		});
	}

	for (const node of rules.keys()) {
		after(tickMs * random.fraction(), () => {
			tick(node);
		});
	}

	if (plan.powerLossAt !== undefined) {
		after(plan.powerLossAt, () => {
			for (const server of servers.slice(0, Math.ceil(plan.servers / 3))) {
				crash(server);
			}
		});
	}

	for (
		let event = queue.pop();
		event && event.at < plan.spanMs;
		event = queue.pop()
	) {
		now = event.at;
		event.run();
	}

	return {...result, lateSends: Math.max(0, ...late.values())};
};
