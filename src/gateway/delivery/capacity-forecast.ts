/**
Predicts when room becomes free, by how often it did lately.
*/
export type CapacityForecast = {
	/**
	A request of the service has left its place at a server.
	*/
	noteRelease(service: string, now: number): void;
	/**
	A request of the service was refused for want of room; it is likely to come back.
	*/
	noteRefusal(service: string, now: number): void;
	/**
	Requests of the service that were refused lately and are likely to come back.
	*/
	expectedRetries(service: string, now: number): number;
	/**
	Milliseconds until a request gets room that has so many before it in the line.
	*/
	waitMs(service: string, before: number, now: number): number;
};

/**
What was seen within this time counts, in milliseconds: long enough for some requests of a few seconds, short
enough to follow servers that come and go.
*/
export const forecastWindowMs = 2000;

/**
Places that are taken to become free in a second where none did lately; there was little to end.
*/
export const assumedReleasesPerSecond = 5;

// Times beyond this are not counted one by one: the rate is known well enough.
const mostTimes = 500;

/**
Builds an outlook that has seen nothing yet.
*/
export const createCapacityForecast = (): CapacityForecast => {
	const freedAt = new Map<string, number[]>();
	const refusedAt = new Map<string, number[]>();

	const enter = (times: Map<string, number[]>, service: string, at: number) => {
		const known = times.get(service) ?? [];
		times.set(service, known);
		known.push(at);
		if (known.length > mostTimes) {
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
		const times = recent(freedAt, service, now);
		const spanMs =
			times.length === mostTimes
				? Math.max(1, now - times[0]!)
				: forecastWindowMs;
		return times.length > 0
			? times.length / spanMs
			: assumedReleasesPerSecond / 1000;
	};

	const expectedRetries = (service: string, now: number): number =>
		recent(refusedAt, service, now).length;

	return {
		noteRelease(service, now) {
			enter(freedAt, service, now);
		},
		noteRefusal(service, now) {
			enter(refusedAt, service, now);
		},
		expectedRetries,
		waitMs: (service, before, now) =>
			(before + expectedRetries(service, now) + 1) / perMs(service, now),
	};
};
