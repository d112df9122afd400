/**
Predicts when room becomes free, by how often it did lately.
*/
export type RoomOutlook = {
	/**
	A request of the service has left its place at a server.
	*/
	freed(service: string, now: number): void;
	/**
	A request of the service was refused for want of room; it is likely to come back.
	*/
	refused(service: string, now: number): void;
	/**
	Requests of the service that were refused lately and are likely to come back.
	*/
	returning(service: string, now: number): number;
	/**
	Milliseconds until a request gets room that has so many before it in the line.
	*/
	waitMs(service: string, before: number, now: number): number;
};

/**
What was seen within this time counts, in milliseconds: long enough for some requests of a few seconds, short
enough to follow servers that come and go.
*/
export const outlookMs = 2000;

/**
Places that are taken to become free in a second where none did lately; there was little to end.
*/
export const assumedPerSecond = 5;

// Times beyond this are not counted one by one: the rate is known well enough.
const mostTimes = 500;

/**
Builds an outlook that has seen nothing yet.
*/
export const createRoomOutlook = (): RoomOutlook => {
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
		while (known[0] !== undefined && known[0] < now - outlookMs) {
			known.shift();
		}

		return known;
	};

	const perMs = (service: string, now: number): number => {
		const times = recent(freedAt, service, now);
		const spanMs =
			times.length === mostTimes ? Math.max(1, now - times[0]!) : outlookMs;
		return times.length > 0 ? times.length / spanMs : assumedPerSecond / 1000;
	};

	const returning = (service: string, now: number): number =>
		recent(refusedAt, service, now).length;

	return {
		freed(service, now) {
			enter(freedAt, service, now);
		},
		refused(service, now) {
			enter(refusedAt, service, now);
		},
		returning,
		waitMs: (service, before, now) =>
			(before + returning(service, now) + 1) / perMs(service, now),
	};
};
