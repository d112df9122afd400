import type {BackendServer, Configuration} from '../configuration/index.ts';
import type {ZoneServiceSummary} from '../digests/index.ts';
import type {GatewayError} from '../errors/index.ts';
import type {Fleet} from '../fleet/index.ts';
import type {Member} from '../membership/index.ts';
import type {ClearedRegion, ZoneCandidate} from '../routing/index.ts';
import type {Random} from '../shared/index.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {RequestLimits} from './request-limits.ts';

/**
A summary received from another zone, with its age.
*/
export type ReceivedZoneSummary = ZoneServiceSummary & {readonly ageMs: number};

/**
Target of the next attempt of a request.
*/
export type TargetChoice =
	| {
			readonly kind: 'backend-server';
			readonly server: BackendServer;
			readonly region: string;
			readonly cleared: ClearedRegion;
	  }
	| {
			readonly kind: 'peer';
			readonly member: Member;
			readonly zone: ZoneCandidate;
			readonly cleared: ClearedRegion;
	  }
	/**
	Servers exist, but all slots are in use.
	*/
	| {
			readonly kind: 'busy';
			/**
			Requests per second that this node may send to them; set only if all of them have rate limits.
			*/
			readonly perSecond?: number;
			/**
			Milliseconds until the first of them may receive a request; set only if all of them are in backoff.
			*/
			readonly backoffRemainingMs?: number;
	  }
	| {readonly kind: 'none'; readonly error: GatewayError};

/**
Options of `createTargetChooser`.
*/
export type ChooserOptions = {
	readonly availabilityZone: string;
	readonly fleet: Fleet;
	/**
	Rate limits that backend servers announce.
	*/
	readonly limits: Pick<RequestLimits, 'canSend' | 'rateOf'>;
	readonly random: Random;
	readonly configuration: () => Configuration | undefined;
	/**
	Returns the nodes of a zone that can take a forwarded request.
	*/
	readonly membersIn: (availabilityZone: string) => readonly Member[];
	readonly summaryOf: (
		availabilityZone: string,
		service: string,
		now: number,
	) => ReceivedZoneSummary | undefined;
};

/**
Targets that were tried already.
*/
export type TriedTargets = {
	/**
	Ids of backend servers and nodes that failed this request.
	*/
	readonly excluded: ReadonlySet<string>;
	/**
	Whether another node forwarded the request; it must then stay in this zone.
	*/
	readonly isForwarded: boolean;
};

/**
Chooses targets. It keeps no data about single requests, only the round-robin position, the away share, the overflow flag
and a cache of eligible zones.
*/
export type TargetChooser = {
	choose(
		request: GatewayRequest,
		tried: TriedTargets,
		now: number,
	): TargetChoice;
	/**
	Share of recent requests that were sent outside their home region.
	*/
	awayShare(): number;
};

/**
For the first attempt of a request.
*/
export const untried: TriedTargets = {excluded: new Set(), isForwarded: false};
