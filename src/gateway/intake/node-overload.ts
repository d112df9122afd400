import type {Random} from '../../shared/index.ts';

/**
Decides which requests a node refuses because its processor cannot carry them.

It answers more requests than the node can process: the event loop then falls behind, and every request waits in its socket
before it is read. Refusing some of them at once, the least urgent first, keeps the rest in time.
*/
export type NodeOverload = {
	/**
	Adjusts the fraction that is refused to the delay and the utilization of the event loop; called at each tick.
	*/
	tick(): void;
	/**
	Whether a request of this priority is accepted.

	@param levels The distinct priorities of all routes, in ascending order; 0 is the most urgent.
	*/
	admits(levels: readonly number[], priority: number): boolean;
	/**
	Seconds after which a refused caller should retry, drawn at random so that refused callers do not return together.
	*/
	retryAfterSeconds(): number;
	/**
	Fraction of the requests that is refused if all priorities are equally frequent, from 0 to 1.
	*/
	refusedFraction(): number;
};

/**
Options of `createNodeOverload`.
*/
export type NodeOverloadOptions = {
	/**
	Delay of the event loop in milliseconds; infinite while it is unknown.
	*/
	readonly lagMs: () => number;
	/**
	Fraction of the time since the last tick in which the event loop was not idle, from 0 to 1.
	*/
	readonly utilization: () => number;
	readonly random: Pick<Random, 'fraction'>;
	/**
	Called when the node begins or ceases to refuse requests.
	*/
	readonly onChange: (isOverloaded: boolean, lagMs: number) => void;
};

/**
Delay of the event loop from which requests are refused, in milliseconds. A request takes some six turns of the loop, to be
accepted, read, sent, and to relay its first event; with this delay, they take the larger part of a target of half a second.
*/
export const overloadLagMs = 50;

/**
Fraction of the time in which the event loop is not idle from which the node counts as saturated. Its turns then grow with the
load, and a request takes several of them, even while each turn is short.
*/
export const saturatedUtilization = 0.95;

/**
Delay of a saturated loop from which the node is overloaded, in milliseconds. Below it, the loop is busy but not behind.
*/
export const saturatedLagMs = 20;

/**
Consecutive late ticks before anything is refused. A single late turn, such as a long garbage collection or a resumed machine,
is over when it is seen.
*/
export const lateTicksBeforeRefusal = 4;

/**
Upper bound of the fraction: some of the most urgent requests are always accepted, which shows whether the node still lags.
*/
export const maximumRefusedFraction = 0.9;

// Increase per late tick for each `overloadLagMs` of delay beyond the bound, and the maximum increase of one tick.
const increase = 0.02;
const maximumIncrease = 0.06;

// Addition to the fraction for each `overloadLagMs` of the present delay beyond the bound.
const excessWeight = 0.2;

// Factor per tick that is not late: a fraction of one half falls below the minimum within two seconds.
const decrease = 0.8;
const minimumRefusedFraction = 0.02;

// Bounds of the time after which refused callers return, in seconds. In the longer one the fraction has followed the load.
const minimumReturnSeconds = 0.5;
const maximumReturnSeconds = 1.5;

/**
Creates a node that refuses nothing.
*/
export const createNodeOverload = ({
	lagMs,
	utilization,
	random,
	onChange,
}: NodeOverloadOptions): NodeOverload => {
	let refused = 0;
	let lateTicks = 0;

	const setRefused = (fraction: number, lag: number) => {
		const wasOverloaded = refused > 0;
		refused = fraction < minimumRefusedFraction ? 0 : fraction;
		if (refused > 0 !== wasOverloaded) {
			onChange(refused > 0, lag);
		}
	};

	return {
		tick() {
			const lag = lagMs();
			const isSaturated =
				lag > saturatedLagMs && utilization() > saturatedUtilization;
			const isLate =
				Number.isFinite(lag) && (isSaturated || lag > overloadLagMs);
			lateTicks = isLate ? lateTicks + 1 : 0;
			if (!isLate) {
				setRefused(refused * decrease, lag);
				return;
			}

			if (lateTicks < lateTicksBeforeRefusal) {
				return;
			}

			const excess = Math.max(1, lag / overloadLagMs - 1);
			const change = Math.min(maximumIncrease, excess * increase);
			setRefused(Math.min(maximumRefusedFraction, refused + change), lag);
		},
		admits(levels, priority) {
			if (refused === 0) {
				return true;
			}

			// The fraction follows the load within ticks; the present delay bounds the queue until it has.
			const excess = Math.max(0, lagMs() / overloadLagMs - 1);
			const fraction = Math.min(
				maximumRefusedFraction,
				refused + excess * excessWeight,
			);
			const lessUrgent = levels.filter((level) => level > priority).length;
			const rank = lessUrgent + random.fraction();
			return rank >= fraction * Math.max(1, levels.length);
		},
		retryAfterSeconds: () =>
			minimumReturnSeconds +
			(maximumReturnSeconds - minimumReturnSeconds) * random.fraction(),
		refusedFraction: () => refused,
	};
};
