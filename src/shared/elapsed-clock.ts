/**
The clocks of a machine, all in milliseconds.
*/
export type ClockSources = {
	/**
	Monotonic clock. It stops while the machine is suspended.
	*/
	readonly monotonic: () => number;
	/**
	Wall clock. It advances while the machine is suspended and can be set at any time.
	*/
	readonly wall: () => number;
	/**
	Time since the machine's boot, including suspensions. A process may be shown the uptime of another machine.
	*/
	readonly uptime: () => number;
};

/**
Monotonic clock in milliseconds that includes time during which the machine was suspended.
*/
export type ElapsedClock = () => number;

/**
A forward jump of the wall clock beyond this counts as a suspension, in milliseconds. Time synchronization daemons adjust
the clock by less at a time.
*/
export const minimumSuspensionMs = 400;

/**
Interval at which the uptime is compared with the monotonic clock, in milliseconds. Each comparison reads a file.
*/
export const comparisonIntervalMs = 1000;

/**
Number of consecutive comparisons in which the uptime must agree before it is trusted.
*/
export const requiredAgreements = 3;

// Maximum difference between two clocks in one comparison. The uptime has a resolution of a hundredth of a second.
const toleranceMs = 60;

/**
Creates a clock that starts at the current value of the monotonic clock.

After a suspension, the monotonic clock alone makes all ages too small: stale state appears fresh, and requests whose
deadlines have passed appear to have time left. A forward jump of the wall clock reveals the suspension. If the uptime is
known to advance with the monotonic clock, it distinguishes a suspension from a wall clock that was set. Otherwise a jump
counts as a suspension, because state that appears too old is merely requested again.

@param sources Clocks of the machine.
@param onSuspended Called with the duration of a suspension, in milliseconds.
*/
export const createElapsedClock = (
	sources: ClockSources,
	onSuspended: (ms: number) => void,
): ElapsedClock => {
	const {monotonic: steady, wall, uptime} = sources;
	let totalSuspendedMs = 0;
	let steadyAt = steady();
	let wallAt = wall();
	let comparedAt = steadyAt;
	let uptimeAt = uptime();
	let agreements = 0;

	// Returns the milliseconds by which the uptime advanced more than the monotonic clock since the last comparison.
	const compare = (now: number): number => {
		const uptimeNow = uptime();
		const ahead = uptimeNow - uptimeAt - (now - comparedAt);
		uptimeAt = uptimeNow;
		comparedAt = now;
		return ahead;
	};

	const suspendedMs = (jumpMs: number, now: number): number => {
		const isTrusted = agreements >= requiredAgreements;
		const aheadMs = compare(now);
		const isConfirmed = Math.abs(aheadMs - jumpMs) <= toleranceMs * 2;
		return isTrusted && !isConfirmed ? 0 : jumpMs;
	};

	const wallClockJump = (now: number, wallNow: number): number =>
		wallNow - wallAt - (now - steadyAt);

	return () => {
		let now = steady();
		let wallNow = wall();
		// A process that is paused between the two readings also sees a jump. Reading both clocks again removes it.
		if (wallClockJump(now, wallNow) > minimumSuspensionMs) {
			now = steady();
			wallNow = wall();
		}

		const jumpMs = wallClockJump(now, wallNow);
		steadyAt = now;
		wallAt = wallNow;
		if (jumpMs > minimumSuspensionMs) {
			const ms = suspendedMs(jumpMs, now);
			totalSuspendedMs += ms;
			if (ms > 0) {
				onSuspended(ms);
			}
		} else if (now - comparedAt >= comparisonIntervalMs) {
			const isAgreed = Math.abs(compare(now)) <= toleranceMs;
			agreements = isAgreed ? agreements + 1 : 0;
		}

		return now + totalSuspendedMs;
	};
};
