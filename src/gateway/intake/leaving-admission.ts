import type {Exchange} from '../exchange.ts';
import type {RouteDurations} from '../delivery/index.ts';

/**
Decides which requests a leaving node still accepts.
*/
export type LeavingAdmission = {
	/**
	Marks the node as leaving. It exits at `endsAt`; both times are milliseconds of its clock.
	*/
	leave(now: number, endsAt: number): void;
	/**
	Returns when the node exits; infinite unless it is leaving.
	*/
	endsAt(): number;
	/**
	Whether a request is expected to be answered before the node exits; always true before `leave` was called.
	*/
	admits(exchange: Exchange): boolean;
};

// While callers are still directed to this node, a request is accepted if all but one in twenty requests of its
// route and a similar length would be answered in time. With the whole timeout of the route as the criterion, streams that may take
// 12 s are refused as soon as the node begins to leave, although half of them end within 2 s.
const answeredFraction = 0.95;

// How long callers are still directed to a leaving node, in milliseconds. After that the directory no longer lists
// the node, and its earlier responses have expired. A caller that comes later knows better nodes, so its request is
// accepted only if its whole time limit fits: one in twenty of the streams that are expected to end in time is cut off.
const directedHereMs = 2500;

/**
Creates the admission control of a node that is not leaving.
*/
export const createLeavingAdmission = (
	durations: RouteDurations,
): LeavingAdmission => {
	let leaving: {readonly since: number; readonly endsAt: number} | undefined;

	const expectedMs = ({route, prompt}: Exchange): number =>
		durations.quantileMs(
			route.name,
			answeredFraction,
			prompt?.expectedTokensOut,
		) ?? route.timeoutMs;

	return {
		leave(now, endsAt) {
			leaving = {since: now, endsAt};
		},
		endsAt: () => leaving?.endsAt ?? Infinity,
		admits(exchange) {
			const {receivedAt, expiresAt} = exchange;
			if (!leaving || expiresAt <= leaving.endsAt) {
				return true;
			}

			const isDirectedHere = receivedAt - leaving.since < directedHereMs;
			return (
				isDirectedHere && receivedAt + expectedMs(exchange) <= leaving.endsAt
			);
		},
	};
};
