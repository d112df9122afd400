import {quantile} from 'simple-statistics';
import type {DeliveryRecord, Exchange} from './exchange.ts';

/**
Decides which requests a node that is about to end still takes.
*/
export type LeavingAdmission = {
	/**
	Enters how long a request took.
	*/
	note(record: DeliveryRecord): void;
	/**
	The node is leaving, and ends at this time; both by its clock in milliseconds.
	*/
	leave(now: number, endsAt: number): void;
	/**
	Whether a request will be answered before the node ends; always true before `leave` was called.
	*/
	mayTake(exchange: Exchange): boolean;
};

/**
Requests of a route by which the time of the next one is told.
*/
export const rememberedRequests = 64;

// With fewer requests seen a route is taken to need all the time that it may.
const fewestRequests = 8;

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
export const createLeavingAdmission = (): LeavingAdmission => {
	const durations = new Map<string, number[]>();
	let leaving: {readonly since: number; readonly endsAt: number} | undefined;

	const expectedMs = ({route}: Exchange): number => {
		const seen = durations.get(route.name) ?? [];
		return seen.length < fewestRequests
			? route.timeoutMs
			: quantile(seen, answeredPart);
	};

	return {
		note({exchange, result, totalMs}) {
			if (result !== 'answered') {
				return;
			}

			const {name} = exchange.route;
			const seen = durations.get(name) ?? [];
			durations.set(name, [...seen.slice(1 - rememberedRequests), totalMs]);
		},
		leave(now, endsAt) {
			leaving = {since: now, endsAt};
		},
		mayTake(exchange) {
			const {receivedAt, expiresAt} = exchange;
			if (!leaving || expiresAt <= leaving.endsAt) {
				return true;
			}

			const isLedHere = receivedAt - leaving.since < ledHereMs;
			return isLedHere && receivedAt + expectedMs(exchange) <= leaving.endsAt;
		},
	};
};
