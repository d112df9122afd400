/**
Predicts when capacity becomes free, from the rate at which it recently did.
*/
export type CapacityForecast = {
	/**
	Records that a request of the service has released its slot at a server.
	*/
	recordRelease(service: string, now: number): void;
	/**
	Records that a request of the service was refused for lack of capacity. Its caller is expected to retry.
	*/
	recordRefusal(service: string, now: number): void;
	/**
	Returns the number of requests of the service that were recently refused and are expected to be retried.
	*/
	expectedRetries(service: string, now: number): number;
	/**
	Whether a request of the service has released its slot recently, so that the rate is not an assumption.
	*/
	hasRecentRelease(service: string, now: number): boolean;
	/**
	Returns the predicted milliseconds until a request gets capacity, given the number of requests ahead of it in the
	queue.
	*/
	waitMs(service: string, ahead: number, now: number): number;
};

/**
The period that the forecast covers, in milliseconds: long enough for some requests of a few seconds, short enough to
follow servers that come and go.
*/
export const forecastWindowMs = 2000;

/**
Releases per second that are assumed if there were none in the period, since few requests were running then.
*/
export const assumedReleasesPerSecond = 5;

// Maximum number of times kept per service, enough for an accurate rate.
const maximumTimes = 500;

/**
Creates a forecast without any records.
*/
export const createCapacityForecast = (): CapacityForecast => {
	const releasedAt = new Map<string, number[]>();
	const refusedAt = new Map<string, number[]>();

	const addTime = (
		times: Map<string, number[]>,
		service: string,
		at: number,
	) => {
		const known = times.get(service) ?? [];
		times.set(service, known);
		known.push(at);
		if (known.length > maximumTimes) {
			known.shift();
		}
	};

	const recent = (
		times: Map<string, number[]>,
		service: string,
		now: number,
	): readonly number[] => {
		const known = times.get(service) ?? [];
		while (known[0] !== undefined && known[0] < now - forecastWindowMs) {
			known.shift();
		}

		return known;
	};

	const perMs = (service: string, now: number): number => {
		const times = recent(releasedAt, service, now);
		const spanMs =
			times.length === maximumTimes
				? Math.max(1, now - times[0]!)
				: forecastWindowMs;
		return times.length > 0
			? times.length / spanMs
			: assumedReleasesPerSecond / 1000;
	};

	const expectedRetries = (service: string, now: number): number =>
		recent(refusedAt, service, now).length;

	return {
		recordRelease(service, now) {
			addTime(releasedAt, service, now);
		},
		recordRefusal(service, now) {
			addTime(refusedAt, service, now);
		},
		expectedRetries,
		hasRecentRelease: (service, now) =>
			recent(releasedAt, service, now).length > 0,
		waitMs: (service, ahead, now) =>
			(ahead + expectedRetries(service, now) + 1) / perMs(service, now),
	};
};
