import type {Client} from '../configuration/index.ts';

/**
Demand of client accounts at another node or in another zone.
*/
export type PeerDemand = {
	readonly holder: string;
	readonly availabilityZone: string;
	readonly rates: Readonly<Record<string, number>>;
};

/**
Result of an admission check.
*/
export type LimitVerdict =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'limited';
			/**
			Seconds until this node expects to admit a further request.
			*/
			readonly retryAfterSeconds: number;
	  };

/**
Rate limits of client accounts, enforced by all nodes together without shared state.
*/
export type ClientLimits = {
	admit(client: Client, now: number): LimitVerdict;
	/**
	Replaces the known demand at other nodes.
	*/
	setPeerDemand(demand: readonly PeerDemand[]): void;
	/**
	Returns the demand at this node in requests per second, by client account; idle accounts are omitted.
	*/
	demand(now: number): Readonly<Record<string, number>>;
	/**
	Returns the fraction of a client's limit that this node may use now, from 0 to 1.
	*/
	share(clientName: string, now: number): number;
};

type Account = {
	tokens: number;
	refilledAt: number;
	rate: number;
	ratedAt: number;
};

/**
Time constant over which demand is averaged, in milliseconds.
*/
export const demandWindowMs = 2000;

/**
Minimum demand assumed for each node, in requests per second, so that an idle node can admit a first request immediately.
*/
export const demandFloor = 0.05;

const minimumReportedRate = 0.01;

/**
 Creates the limits of one node.
 
 Each node may use a share of a client's limit in proportion to its share of the demand.
 While the views of nodes differ, the sum of the shares can exceed 1: by the demand that
 moved while a digest was in transit, and by the full limit for each side of a network
 partition.
 */
export const createClientLimits = (nodeCount: () => number): ClientLimits => {
	const accounts = new Map<string, Account>();
	let peerRates = new Map<string, number>();

	const decayed = (account: Account, now: number) =>
		account.rate *
		Math.exp(-Math.max(0, now - account.ratedAt) / demandWindowMs);

	const share = (clientName: string, now: number): number => {
		const account = accounts.get(clientName);
		const ownDemand = (account ? decayed(account, now) : 0) + demandFloor;
		const peerDemand =
			(peerRates.get(clientName) ?? 0) +
			demandFloor * Math.max(0, nodeCount() - 1);
		return ownDemand / (ownDemand + peerDemand);
	};

	const getOrCreate = (client: Client, now: number): Account => {
		const known = accounts.get(client.name);
		if (known) {
			return known;
		}

		const account = {
			tokens: client.burst / Math.max(1, nodeCount()),
			refilledAt: now,
			rate: 0,
			ratedAt: now,
		};
		accounts.set(client.name, account);
		return account;
	};

	const countDemand = (account: Account, now: number) => {
		account.rate = decayed(account, now) + 1000 / demandWindowMs;
		account.ratedAt = now;
	};

	return {
		admit(client, now) {
			const account = getOrCreate(client, now);
			countDemand(account, now);
			const fraction = share(client.name, now);
			const perSecond = client.requestsPerSecond * fraction;
			// The bucket holds at least one request; otherwise, a node with a small share could never admit one.
			const capacity = Math.max(1, client.burst * fraction);
			const refill = ((now - account.refilledAt) / 1000) * perSecond;
			account.tokens = Math.min(capacity, account.tokens + refill);
			account.refilledAt = now;
			if (account.tokens >= 1) {
				account.tokens -= 1;
				return {kind: 'admitted'};
			}

			return {
				kind: 'limited',
				retryAfterSeconds: (1 - account.tokens) / perSecond,
			};
		},
		setPeerDemand(demand) {
			peerRates = new Map();
			for (const {rates} of demand) {
				for (const [client, rate] of Object.entries(rates)) {
					peerRates.set(client, (peerRates.get(client) ?? 0) + rate);
				}
			}
		},
		demand(now) {
			const rates: Record<string, number> = {};
			for (const [name, account] of accounts) {
				const rate = decayed(account, now);
				if (rate >= minimumReportedRate) {
					rates[name] = Math.round(rate * 100) / 100;
				}
			}

			return rates;
		},
		share,
	};
};
