import TinyQueue from 'tinyqueue';
import type {Crash, CrashLedger} from '../../src/quarantine/index.ts';
import {createRandom} from '../../src/shared/index.ts';

/**
The part of the ledger by which a node decides.
*/
export type CrashRule = Pick<
	CrashLedger,
	'addCrash' | 'served' | 'evaluate' | 'status' | 'mergeEntry'
>;

/**
The parameters of a simulation.
*/
export type CrashScenario = {
	readonly seed: number;
	readonly createRule: () => CrashRule;
	readonly nodes: number;
	readonly servers: number;
	/**
	Harmless requests per second, and their maximum duration, in milliseconds.
	*/
	readonly perSecond: number;
	readonly longestRunMs: number;
	/**
	Number of requests that crash servers, and the mean interval between two attempts of one of them, in milliseconds.
	*/
	readonly fatal: number;
	readonly fatalEveryMs: number;
	readonly maximumAttempts: number;
	/**
	Number of crashes from which on a suspect is sent only to a server without other suspects of its node, and waits for one.
	*/
	readonly isolatedFrom: number;
	/**
	Maximum time for which a suspect waits for such a server, in milliseconds.
	*/
	readonly maximumIsolationWaitMs: number;
	/**
	Prompt parts that crash servers, one in each of many requests that are all different; undefined for prompts without parts.
	*/
	readonly parts?: PartScenario;
	/**
	When all servers of a zone, a third of the servers, lose power, without the fault of any request.
	*/
	readonly powerLossAt?: number;
	readonly spanMs: number;
};

/**
The prompts of a simulation. Each has a common part, one of several topics, and a part of its own.
*/
export type PartScenario = {
	readonly createRule: () => CrashRule;
	/**
	Number of parts that crash servers, and the mean interval between two requests with one of them, in milliseconds.
	*/
	readonly fatal: number;
	readonly fatalEveryMs: number;
	/**
	Number of topics of sound requests.
	*/
	readonly topics: number;
	/**
	Fraction of the sound requests that have the topic of the fatal ones.
	*/
	readonly companionFraction?: number;
	/**
	Whether nodes tell each other which suspected parts were in a complete answer.
	*/
	readonly sharesServed: boolean;
};

/**
The result of a simulation.
*/
export type CrashResult = {
	readonly crashes: number;
	/**
	Maximum number of sends of one fatal request later than `reportDeadlineMs` after its third crash, or of requests with one fatal part
	after its fifth.
	*/
	readonly lateSends: number;
	/**
	Harmless requests: the total, those refused because of crashes, and those lost to a crash.
	*/
	readonly others: number;
	readonly refused: number;
	readonly lost: number;
};

/**
Time within which nodes must have reported a third crash to each other, in milliseconds.
*/
export const reportDeadlineMs = 5000;

type Request = {
	readonly fingerprint: string;
	readonly parts: readonly string[];
	readonly fatalPart: string | undefined;
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

type Server = {incarnation: number; isUp: boolean; runs: Set<Run>};

type Event = {readonly at: number; readonly run: () => void};

// Time after which a crashed server is back, as observed in operation.
const downMs = 2500;
const tickMs = 150;
const nearDelayMs = 5;
const farDelayMs = 80;
const waitMs = 100;
const lifetimeMs = 4000;
const callerRetryMs = 300;

/**
Simulates nodes, servers and callers without a network. Messages between nodes take 5 to 80 ms, and one in fifty is lost.
*/
export const simulateCrashes = (plan: CrashScenario): CrashResult => {
	const random = createRandom(plan.seed);
	const queue = new TinyQueue<Event>([], (left, right) => left.at - right.at);
	const rules = Array.from({length: plan.nodes}, plan.createRule);
	const partRules = Array.from({length: plan.parts ? plan.nodes : 0}, () =>
		plan.parts!.createRule(),
	);
	const servers: Server[] = Array.from({length: plan.servers}, () => ({
		incarnation: 0,
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

	// An isolated suspect is the only suspect of its node at a server: it excludes others, and waits for a server without any.
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

	const hasQuarantinedPart = ({parts}: Request, node: number): boolean =>
		parts.some(
			(part) => partRules[node]?.status(part, now).kind === 'quarantined',
		);

	const tellAll = (from: number, tell: (rule: CrashRule) => void) => {
		for (const [other, rule] of partRules.entries()) {
			if (other !== from && random.fraction() >= 0.02) {
				after(
					nearDelayMs + random.fraction() * (farDelayMs - nearDelayMs),
					() => {
						tell(rule);
					},
				);
			}
		}
	};

	const serveParts = ({parts}: Request, node: number) => {
		for (const part of parts) {
			if (partRules[node]?.served(part) && plan.parts!.sharesServed) {
				after(random.fraction() * tickMs, () => {
					tellAll(node, (rule) => {
						rule.served(part);
					});
				});
			}
		}
	};

	const refuse = (request: Request) => {
		result.refused += request.isFatal ? 0 : 1;
	};

	const lose = (request: Request) => {
		result.lost += request.isFatal ? 0 : 1;
	};

	const send = (request: Request, node: number) => {
		const standing = rules[node]!.status(request.fingerprint, now);
		if (standing.kind === 'quarantined' || hasQuarantinedPart(request, node)) {
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
		const {incarnation} = server;
		after(
			request.isFatal
				? random.fraction() * 100
				: random.fraction() * plan.longestRunMs,
			() => {
				if (server.incarnation !== incarnation || !server.runs.has(run)) {
					return;
				}

				if (request.isFatal) {
					crash(server);
				} else {
					server.runs.delete(run);
					rules[node]!.served(request.fingerprint);
					serveParts(request, node);
				}
			},
		);
	};

	const noteSend = ({fingerprint, fatalPart, isFatal}: Request) => {
		const cause = fatalPart ?? fingerprint;
		const last =
			ended.get(cause)?.[fatalPart === undefined ? 2 : 4] ?? Infinity;
		if (isFatal && now > last + reportDeadlineMs) {
			late.set(cause, (late.get(cause) ?? 0) + 1);
		}
	};

	const crash = (server: Server) => {
		const incarnationId = `${servers.indexOf(server)} ${server.incarnation}`;
		const runs = [...server.runs];
		server.runs = new Set();
		server.isUp = false;
		server.incarnation += 1;
		result.crashes += 1;
		after(downMs, () => {
			server.isUp = true;
		});
		const causes = new Set(
			runs
				.filter((run) => run.request.isFatal)
				.map(({request}) => request.fatalPart ?? request.fingerprint),
		);
		for (const cause of causes) {
			ended.set(cause, [...(ended.get(cause) ?? []), now]);
		}

		for (const [node, seen] of Map.groupBy(runs, (run) => run.node)) {
			after(nearDelayMs, () => {
				report(node, incarnationId, seen);
			});
			for (const run of seen) {
				retry(run);
			}
		}
	};

	// A node applies its own report at once and sends it to the other nodes at its next tick.
	const report = (
		node: number,
		incarnationId: string,
		seen: readonly Run[],
	) => {
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
		const sendDelay = random.fraction() * tickMs;
		reportParts(node, {incarnationId, at, seen}, sendDelay);
		for (const [other, rule] of rules.entries()) {
			if (other === node || random.fraction() < 0.02) {
				continue;
			}

			const delay =
				nearDelayMs + random.fraction() * (farDelayMs - nearDelayMs);
			reportLater(rule, crashOf(delay), sendDelay + delay);
		}
	};

	const reportParts = (
		node: number,
		{
			incarnationId,
			at,
			seen,
		}: {
			readonly incarnationId: string;
			readonly at: number;
			readonly seen: readonly Run[];
		},
		sendDelay: number,
	) => {
		const byPart = Map.groupBy(
			seen.flatMap(({request, sentAt}) =>
				request.parts.map((part) => ({part, sentAt})),
			),
			({part}) => part,
		);
		const crashAfter = (offset: number): Crash => ({
			incarnationId,
			at: at + offset,
			runs: [...byPart].map(([fingerprint, runs]) => ({
				fingerprint,
				sentAt: Math.max(...runs.map(({sentAt}) => sentAt)) + offset,
				runs: runs.length,
			})),
		});
		partRules[node]?.addCrash(crashAfter(0), now);
		after(sendDelay, () => {
			tellAll(node, (rule) => {
				rule.addCrash(crashAfter(0), now);
			});
		});
	};

	const reportLater = (rule: CrashRule, crashReport: Crash, ms: number) => {
		after(ms, () => {
			rule.addCrash(crashReport, now);
		});
	};

	const retry = ({request, node}: Run) => {
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
		after(callerRetryMs * random.fraction(), () => {
			send(request, random.below(plan.nodes));
		});
	};

	const newRequest = (
		fingerprint: string,
		isFatal: boolean,
		parts: readonly string[] = [],
		fatalPart?: string,
	): Request => ({
		fingerprint,
		parts,
		fatalPart,
		isFatal,
		attempts: 0,
		callerTries: 0,
		until: now + lifetimeMs,
		waitingSince: Infinity,
		excluded: new Set(),
	});

	const arrive = () => {
		result.others += 1;
		send(
			newRequest(`other ${result.others}`, false, partsOfSound()),
			random.below(plan.nodes),
		);
		after((-Math.log(1 - random.fraction()) * 1000) / plan.perSecond, arrive);
	};

	const partsOfSound = (): readonly string[] => {
		if (!plan.parts) {
			return [];
		}

		const {topics, companionFraction = 0} = plan.parts;
		const topic =
			random.fraction() < companionFraction
				? 'companion'
				: `topic ${random.below(topics)}`;
		return ['common', topic];
	};

	let fatalArrivals = 0;
	const arriveFatalPart = (
		index: number,
		{fatalEveryMs, topics, companionFraction}: PartScenario,
	) => {
		fatalArrivals += 1;
		const fatalPart = `fatal part ${index}`;
		const topic =
			companionFraction === undefined
				? `topic ${random.below(topics)}`
				: 'companion';
		const request = newRequest(
			`fatal ${fatalArrivals}`,
			true,
			['common', topic, fatalPart],
			fatalPart,
		);
		send(request, random.below(plan.nodes));
		after(fatalEveryMs * (0.5 + random.fraction()), () => {
			arriveFatalPart(index, plan.parts!);
		});
	};

	const arriveFatal = (index: number) => {
		send(newRequest(`fatal ${index}`, true), random.below(plan.nodes));
		after(plan.fatalEveryMs * (0.5 + random.fraction()), () => {
			arriveFatal(index);
		});
	};

	const tick = (node: number) => {
		rules[node]!.evaluate(now);
		const found = partRules[node]?.evaluate(now) ?? [];
		tellAll(node, (rule) => {
			for (const entry of found) {
				rule.mergeEntry(entry, now);
			}
		});
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

	const startFatalParts = (parts: PartScenario) => {
		for (let index = 0; index < parts.fatal; index += 1) {
			after(2000 + 300 * index, () => {
				arriveFatalPart(index, parts);
			});
		}
	};

	if (plan.parts) {
		startFatalParts(plan.parts);
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
