/**
The clocks of a machine, all in milliseconds.
*/
export type ClockSources = {
	/**
	Only rises, and stands still while the machine is suspended.
	*/
	readonly steady: () => number;
	/**
	Time of day: counts while the machine is suspended, and may be set at any time.
	*/
	readonly wall: () => number;
	/**
	Time since the machine's start: counts while it is suspended. What a process is shown may be the time of another machine.
	*/
	readonly uptime: () => number;
};

/**
Time that has passed, in milliseconds that only rise; it goes on while the machine is suspended.
*/
export type ElapsedClock = () => number;

/**
The time of day must leap forward by more than this to be taken for a suspension, in milliseconds. Daemons that set it
right move it by less at a time.
*/
export const shortestSuspensionMs = 400;

/**
How often the uptime is compared with the steady clock, in milliseconds; each comparison reads a file.
*/
export const compareEveryMs = 1000;

/**
The uptime counts for true after so many comparisons in which it agreed.
*/
export const comparisonsToTrust = 3;

// How far two clocks may differ over one comparison. The uptime is told in hundredths of a second.
const agreementMs = 60;

/**
Builds a clock that starts at the steady one.

The steady clock alone makes all ages too small after a suspension: what was known before it seems fresh, and requests seem to
have time left that their callers have waited out. A leap of the time of day shows it. Where the uptime is known to run with
the steady clock, it tells a suspension from a time of day that was set; where it is not, a leap counts as a suspension, for
what seems too old is only asked for again.

@param sources The clocks.
@param onSuspended Told how long the machine was suspended.
*/
export const createElapsedClock = (
	sources: ClockSources,
	onSuspended: (ms: number) => void,
): ElapsedClock => {
	const {steady, wall, uptime} = sources;
	let passed = 0;
	let steadyAt = steady();
	let wallAt = wall();
	let comparedAt = steadyAt;
	let uptimeAt = uptime();
	let agreements = 0;

	// Milliseconds by which the uptime went ahead of the steady clock since the last comparison.
	const compare = (now: number): number => {
		const uptimeNow = uptime();
		const ahead = uptimeNow - uptimeAt - (now - comparedAt);
		uptimeAt = uptimeNow;
		comparedAt = now;
		return ahead;
	};

	const suspendedMs = (leapMs: number, now: number): number => {
		const isTrusted = agreements >= comparisonsToTrust;
		const aheadMs = compare(now);
		const isConfirmed = Math.abs(aheadMs - leapMs) <= agreementMs * 2;
		return isTrusted && !isConfirmed ? 0 : leapMs;
	};

	const leapOf = (now: number, wallNow: number): number =>
		wallNow - wallAt - (now - steadyAt);

	return () => {
		let now = steady();
		let wallNow = wall();
		// A process that is stopped between the two readings sees a leap as well; it is gone when they are read again.
		if (leapOf(now, wallNow) > shortestSuspensionMs) {
			now = steady();
			wallNow = wall();
		}

		const leapMs = leapOf(now, wallNow);
		steadyAt = now;
		wallAt = wallNow;
		if (leapMs > shortestSuspensionMs) {
			const ms = suspendedMs(leapMs, now);
			passed += ms;
			if (ms > 0) {
				onSuspended(ms);
			}
		} else if (now - comparedAt >= compareEveryMs) {
			const isAgreed = Math.abs(compare(now)) <= agreementMs;
			agreements = isAgreed ? agreements + 1 : 0;
		}

		return now + passed;
	};
};
