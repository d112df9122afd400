import {createRandom, type Random} from '../../src/shared/index.ts';

/**
Ways to treat the requests in flight at a server that is silent.
*/
export const silenceWays = [
	/**
	All of them are taken off the server when a node believes that it has failed.
	*/
	'taken off',
	'left where they are',
	/**
	Those without a first event are taken off if another server has just answered.
	*/
	'moved while they wait',
	/**
	A second run begins at another server when a node believes that the server has failed. The first run to answer stays.
	*/
	'hedged at the belief',
	/**
	A second run begins once the request has been without a byte for as long as callers wait.
	*/
	'hedged at the patience',
] as const;

/**
One way to treat them.
*/
export type SilenceWay = (typeof silenceWays)[number];

/**
What is played. Times are in milliseconds.
*/
export type SilencePlan = {
	readonly way: SilenceWay;
	readonly seed: number;
	readonly nodes: number;
	readonly servers: number;
	/**
	Number of servers that fall silent.
	*/
	readonly silent: number;
	/**
	Length of the silence; infinite for servers that hang for good.
	*/
	readonly silenceMs: number;
};

/**
What callers saw and what it cost.
*/
export type SilenceResult = {
	readonly requests: number;
	/**
	Requests without a whole answer whose caller had not lost patience.
	*/
	readonly lost: number;
	/**
	Requests whose caller gave up.
	*/
	readonly givenUp: number;
	/**
	Runs that were cut although their server was sound.
	*/
	readonly cutInVain: number;
	readonly secondSends: number;
	/**
	Mean time to the first event of the requests that the silence touched.
	*/
	readonly firstEventMs: number;
};

type Run = {
	readonly server: number;
	readonly startedAt: number;
	/**
	Work done so far, in milliseconds.
	*/
	done: number;
	lastByteAt: number;
};

type ModelRequest = {
	readonly at: number;
	readonly node: number;
	readonly lengthMs: number;
	readonly tried: Set<number>;
	runs: Run[];
	isTouched: boolean;
	firstEventAt: number | undefined;
	end: 'whole' | 'lost' | 'given-up' | undefined;
};

const stepMs = 20;
const spanMs = 10_000;
const silenceAt = 3000;
const perServerAndSecond = 40;
const firstEventMs = 60;
const shortestMs = 300;
const lengthRangeMs = 700;
const deadlineMs = 4000;
const patienceMs = 2000;
const beliefMs = 1100;
const maximumRuns = 2;
const slots = 64;

/**
Plays requests at servers of which some fall silent.
*/
export const playSilence = (plan: SilencePlan): SilenceResult => {
	const random = createRandom(plan.seed);
	const requests: ModelRequest[] = [];
	let open: ModelRequest[] = [];
	let cutInVain = 0;
	let secondSends = 0;
	let now = 0;

	const isSilent = (server: number) =>
		server < plan.silent &&
		now >= silenceAt &&
		now < silenceAt + plan.silenceMs;

	const cut = (request: ModelRequest, run: Run) => {
		request.runs = request.runs.filter((each) => each !== run);
		cutInVain += plan.silenceMs === Infinity && isSilent(run.server) ? 0 : 1;
	};

	// Each node judges by the requests that it has at the server itself.
	const suspects = (): ReadonlySet<string> => {
		const waiting = open
			.flatMap(({node, runs}) => runs.map((run) => ({node, run})))
			.filter(({run}) => isSilent(run.server) && run.done < firstEventMs);
		const oldest = new Map<string, number>();
		for (const {node, run} of waiting) {
			const key = `${node} ${run.server}`;
			const since = Math.max(run.startedAt, run.lastByteAt, silenceAt);
			oldest.set(key, Math.min(oldest.get(key) ?? Infinity, since));
		}

		return new Set(
			[...oldest]
				.filter(([, since]) => now - since >= beliefMs)
				.map(([key]) => key),
		);
	};

	const inFlight = () => {
		const counts = Array.from({length: plan.servers}, () => 0);
		for (const {runs} of open) {
			for (const {server} of runs) {
				counts[server]! += 1;
			}
		}

		return counts;
	};

	const isSent = (
		request: ModelRequest,
		believed: ReadonlySet<string>,
		counts: number[],
	): boolean => {
		const candidates = counts
			.map((count, server) => ({count, server}))
			.filter(
				({count, server}) =>
					count < slots &&
					!request.tried.has(server) &&
					!believed.has(`${request.node} ${server}`),
			);
		if (candidates.length === 0) {
			return false;
		}

		const least = Math.min(...candidates.map(({count}) => count));
		const best = candidates.filter(({count}) => count <= least + 2);
		const {server} = best[random.below(best.length)]!;
		counts[server]! += 1;
		request.tried.add(server);
		request.runs.push({server, startedAt: now, done: 0, lastByteAt: now});
		secondSends += request.tried.size > 1 ? 1 : 0;
		return true;
	};

	const shouldLeave = ({way}: SilencePlan, run: Run) =>
		way === 'taken off' ||
		(way === 'moved while they wait' && run.done < firstEventMs);

	const shouldHedge = ({way}: SilencePlan, run: Run) =>
		way === 'hedged at the belief' ||
		(way === 'hedged at the patience' && now - run.lastByteAt >= patienceMs);

	const actOnBelief = (believed: ReadonlySet<string>, counts: number[]) => {
		for (const request of open) {
			const [first] = request.runs;
			const isBelieved =
				first !== undefined &&
				request.runs.length === 1 &&
				believed.has(`${request.node} ${first.server}`);
			if (!isBelieved || request.tried.size >= maximumRuns) {
				continue;
			}

			if (shouldLeave(plan, first)) {
				const hasNext = isSent(request, believed, counts);
				if (hasNext || plan.way === 'taken off') {
					cut(request, first);
				}

				request.end = hasNext || plan.way !== 'taken off' ? undefined : 'lost';
			} else if (shouldHedge(plan, first)) {
				isSent(request, believed, counts);
			}
		}
	};

	const advance = (request: ModelRequest) => {
		for (const run of request.runs) {
			if (isSilent(run.server)) {
				request.isTouched = true;
				continue;
			}

			run.done += stepMs;
			if (run.done < firstEventMs) {
				continue;
			}

			run.lastByteAt = now;
			request.firstEventAt ??= now;
			for (const other of request.runs) {
				if (other !== run) {
					cut(request, other);
				}
			}

			if (run.done >= request.lengthMs) {
				request.end = 'whole';
			}

			return;
		}
	};

	const giveUp = (request: ModelRequest) => {
		const lastByteAt = Math.max(
			request.at,
			...request.runs.map((run) => run.lastByteAt),
		);
		if (request.end === undefined && now - lastByteAt > patienceMs) {
			request.end = 'given-up';
		} else if (request.end === undefined && now - request.at >= deadlineMs) {
			request.end = 'lost';
		}
	};

	const arrive = (): readonly ModelRequest[] => {
		const each = (plan.servers * perServerAndSecond * stepMs) / 1000;
		const count = Math.floor(each) + (random.fraction() < each % 1 ? 1 : 0);
		const arrived = Array.from({length: count}, () =>
			drawRequest(random, plan.nodes, now),
		);
		requests.push(...arrived);
		return arrived;
	};

	const dispatch = (
		queue: readonly ModelRequest[],
		believed: ReadonlySet<string>,
		counts: number[],
	): readonly ModelRequest[] => {
		const waiting: ModelRequest[] = [];
		for (const request of queue) {
			if (isSent(request, believed, counts)) {
				open.push(request);
			} else if (plan.way === 'taken off') {
				request.end = 'lost';
			} else {
				request.isTouched = true;
				giveUp(request);
				waiting.push(request);
			}
		}

		return waiting.filter(({end}) => end === undefined);
	};

	const advanceAll = () => {
		open = open.filter(({end}) => end === undefined);
		for (const request of open) {
			advance(request);
			giveUp(request);
		}

		open = open.filter(({end}) => end === undefined);
	};

	let queue: readonly ModelRequest[] = [];
	for (; now < spanMs; now += stepMs) {
		const believed = suspects();
		const counts = inFlight();
		actOnBelief(believed, counts);
		const arrived = now < spanMs - deadlineMs ? arrive() : [];
		queue = dispatch([...queue, ...arrived], believed, counts);
		advanceAll();
	}

	return summaryOf(requests, cutInVain, secondSends);
};

const drawRequest = (
	random: Random,
	nodes: number,
	at: number,
): ModelRequest => ({
	at,
	node: random.below(nodes),
	lengthMs: shortestMs + random.below(lengthRangeMs),
	tried: new Set(),
	runs: [],
	isTouched: false,
	firstEventAt: undefined,
	end: undefined,
});

const summaryOf = (
	requests: readonly ModelRequest[],
	cutInVain: number,
	secondSends: number,
): SilenceResult => {
	const delays = requests
		.filter(
			({isTouched, firstEventAt}) => isTouched && firstEventAt !== undefined,
		)
		.map(({at, firstEventAt}) => firstEventAt! - at);
	return {
		requests: requests.length,
		lost: requests.filter(({end}) => end === 'lost').length,
		givenUp: requests.filter(({end}) => end === 'given-up').length,
		cutInVain,
		secondSends,
		firstEventMs:
			delays.reduce((sum, each) => sum + each, 0) / Math.max(1, delays.length),
	};
};
