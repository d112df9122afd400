import type {Exchange} from '../exchange.ts';
import type {RouteDurations} from '../delivery/index.ts';

/**
Decides which requests a node that is about to end still takes.
*/
export type LeavingAdmission = {
	/**
	The node is leaving, and ends at this time; both by its clock in milliseconds.
	*/
	leave(now: number, endsAt: number): void;
	/**
	Whether a request will be answered before the node ends; always true before `leave` was called.
	*/
	admits(exchange: Exchange): boolean;
};

// While callers are still led here a request is taken where all but one in twenty of its route would be
// answered in time. With the whole time limit of the route, a stream that may take 12 s was refused from
// the first moment on, though half of them end within 2 s.
const answeredPart = 0.95;

// How long callers are led to a leaving node, in milliseconds: the directory has left it out by then, and
// what it told is no longer valid. Whoever comes later knows better nodes and is not put at any risk: of
// the streams that were expected to end in time one in twenty was cut off.
const ledHereMs = 2500;

/**
Builds the admission of a node that is not leaving.
*/
export const createLeavingAdmission = (
	durations: RouteDurations,
): LeavingAdmission => {
	let leaving: {readonly since: number; readonly endsAt: number} | undefined;

	const expectedMs = ({route}: Exchange): number =>
		durations.quantileMs(route.name, answeredPart) ?? route.timeoutMs;

	return {
		leave(now, endsAt) {
			leaving = {since: now, endsAt};
		},
		admits(exchange) {
			const {receivedAt, expiresAt} = exchange;
			if (!leaving || expiresAt <= leaving.endsAt) {
				return true;
			}

			const isLedHere = receivedAt - leaving.since < ledHereMs;
			return isLedHere && receivedAt + expectedMs(exchange) <= leaving.endsAt;
		},
	};
};
