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
A summary of another zone as it was heard, with its age.
*/
export type ReceivedZoneSummary = ZoneServiceSummary & {readonly ageMs: number};

/**
Where the next attempt of a request goes.
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
	There are servers, but every slot is taken.
	*/
	| {
			readonly kind: 'busy';
			/**
			Given where all of them have named limits: requests a second that this node may send them.
			*/
			readonly perSecond?: number;
			/**
			Given where all of them rest: milliseconds until the first of them may be sent a request.
			*/
			readonly backoffRemainingMs?: number;
	  }
	| {readonly kind: 'none'; readonly error: GatewayError};

/**
What choosing depends on.
*/
export type ChooserOptions = {
	readonly availabilityZone: string;
	readonly fleet: Fleet;
	/**
	The limits that backend servers name.
	*/
	readonly limits: Pick<RequestLimits, 'canSend' | 'rateOf'>;
	readonly random: Random;
	readonly configuration: () => Configuration | undefined;
	/**
	Nodes that can take a forwarded request, in one zone.
	*/
	readonly membersIn: (availabilityZone: string) => readonly Member[];
	readonly summaryOf: (
		availabilityZone: string,
		service: string,
		now: number,
	) => ReceivedZoneSummary | undefined;
};

/**
What has been tried already.
*/
export type TriedTargets = {
	/**
	Ids of backend servers and nodes that failed for this request.
	*/
	readonly excluded: ReadonlySet<string>;
	/**
	Whether another zone may be chosen; never for a request that was forwarded here.
	*/
	readonly isForwarded: boolean;
};

/**
Chooses targets; keeps only what smooths its choices over time.
*/
export type TargetChooser = {
	choose(
		request: GatewayRequest,
		tried: TriedTargets,
		now: number,
	): TargetChoice;
	/**
	Share of recent requests that were sent away from their home region.
	*/
	awayShare(): number;
};

/**
Nothing has been tried yet.
*/
export const untried: TriedTargets = {excluded: new Set(), isForwarded: false};
