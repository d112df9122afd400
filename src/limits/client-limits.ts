import type {Client} from '../configuration/index.ts';

/**
Demand of client accounts at one other node, or in one other zone.
*/
export type PeerDemand = {
	readonly holder: string;
	readonly availabilityZone: string;
	readonly rates: Readonly<Record<string, number>>;
};

/**
The answer to a request for admission.
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
Limits of client accounts, kept together with the other nodes without shared state.
*/
export type ClientLimits = {
	admit(client: Client, now: number): LimitVerdict;
	/**
	Replaces what is known of the demand at other nodes.
	*/
	setPeerDemand(demand: readonly PeerDemand[]): void;
	/**
	Own demand in requests a second, by client account; idle accounts are left out.
	*/
	demand(now: number): Readonly<Record<string, number>>;
	/**
	The part of a client's limit that this node may use now, from 0 to 1.
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
Over this many milliseconds demand is averaged.
*/
export const demandWindowMs = 2000;

/**
Demand counted for every node, so that an idle node can admit a first request at once.
*/
export const demandFloor = 0.05;

const idleRate = 0.01;

/**
 Builds the limits of one node.
 
 Each node may use a share of a client's limit in proportion to its share of the demand.
 While views differ, the sum of shares can pass one: by the demand that moved within the
 time a digest takes, and by one whole limit for each part of a cut network.
 */
export const createClientLimits = (nodeCount: () => number): ClientLimits => {
	const accounts = new Map<string, Account>();
	let peerRates = new Map<string, number>();

	const decayed = (account: Account, now: number) =>
		account.rate *
		Math.exp(-Math.max(0, now - account.ratedAt) / demandWindowMs);

	const share = (clientName: string, now: number): number => {
		const account = accounts.get(clientName);
		const own = (account ? decayed(account, now) : 0) + demandFloor;
		const others =
			(peerRates.get(clientName) ?? 0) +
			demandFloor * Math.max(0, nodeCount() - 1);
		return own / (own + others);
	};

	const open = (client: Client, now: number): Account => {
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
			const account = open(client, now);
			countDemand(account, now);
			const part = share(client.name, now);
			const perSecond = client.requestsPerSecond * part;
			// The smallest bucket still holds one request; else a small share could never admit any.
			const capacity = Math.max(1, client.burst * part);
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
				if (rate >= idleRate) {
					rates[name] = Math.round(rate * 100) / 100;
				}
			}

			return rates;
		},
		share,
	};
};
