import {
	createSharedLimits,
	type LimitState,
	type SharedVerdict,
} from '../../limits/index.ts';
import {
	limitUnitsUsed,
	type ClientAccount,
	type ClientDirectory,
} from '../../clients/index.ts';
import {createZoneRoleHolders, type Member} from '../../membership/index.ts';
import {createDerived} from '../../shared/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import type {UsageMessage} from '../../peers/usage-messages.ts';

/**
Holds client accounts to their limits, together with the other nodes.
*/
export type LimitSharing = {
	/**
	Admits a request of an account or not.

	@param account Name of the account.
	@param tokens Tokens of the prompt and the most that the answer may hold; undefined where the request states none.
	*/
	admit(
		account: string,
		tokens: number | undefined,
		now: number,
	): SharedVerdict;
	/**
	Takes in what another node tells.
	*/
	receive(message: UsageMessage, now: number): void;
	/**
	Tells other nodes once the interval is over; called at each tick.
	*/
	tick(now: number): void;
	/**
	How each account that has a limit stands.
	*/
	states(now: number): ReadonlyMap<string, LimitState>;
};

/**
What sharing is built from.
*/
export type LimitSharingOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usable' | 'others' | 'send'>;
	/**
	The accounts of the routes in force; undefined where callers need no key.
	*/
	readonly clients: () => ClientDirectory | undefined;
	/**
	Over which what was let through is held to a limit, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	All availability zones.
	*/
	readonly zones: readonly string[];
	readonly hasSettled: () => boolean;
	/**
	Nodes of all regions, this one included.
	*/
	readonly nodes: () => number;
	/**
	A number from 0 up to, but without, 1.
	*/
	readonly randomFraction: () => number;
};

/**
How often usage is told, in milliseconds. An account that suddenly sends four times its limit is held to it after two
or three intervals, in which it gets through some two seconds' worth of it.
*/
export const usageIntervalMs = 400;

// Its holder adds up the usage of its zone.
const duty = 'limits';

const admitted: SharedVerdict = {kind: 'admitted'};

/**
Builds the sharing of one node. Each node tells the holder of its zone, holders tell each other, and each holder tells
the nodes of its zone: a node sends and receives as much however many nodes there are, and a holder by the nodes of its
zone and the number of zones.
*/
export const createLimitSharing = ({
	mesh,
	clients,
	windowMs,
	zones,
	hasSettled,
	nodes,
	randomFraction,
}: LimitSharingOptions): LimitSharing => {
	const isInOwnZone = ({availabilityZone}: Member) =>
		availabilityZone === mesh.self().availabilityZone;

	// Nodes that leave are gone for good or come back as new ones; dead ones may be cut off.
	const zoneReachableFraction = createDerived(mesh.others, (members) => {
		const zone = members.filter((member) => isInOwnZone(member));
		const dead = zone.filter(({status}) => status === 'dead').length;
		const leaving = zone.filter(({status}) => status === 'leaving').length;
		return 1 - dead / (1 + zone.length - leaving);
	});
	const limits = createSharedLimits({
		windowMs,
		otherZones: zones.filter((zone) => zone !== mesh.self().availabilityZone),
		zoneReachableFraction,
		hasSettled,
		nodes,
		randomFraction,
	});
	let nextAt = 0;

	const holders = createZoneRoleHolders(duty, mesh.self, mesh.usable);

	const addUp = (now: number) => {
		const {id, availabilityZone} = mesh.self();
		const usages = limits.zoneSum(now);
		const others = holders()
			.values()
			.filter((holder) => !isInOwnZone(holder))
			.toArray();
		mesh.send(others, {
			kind: 'zone',
			from: availabilityZone,
			usage: {nodeFraction: zoneReachableFraction(), usages},
		});
		const totals = limits.totals(now);
		limits.receiveTotals(totals, now);
		mesh.send(
			mesh.usable().filter((member) => isInOwnZone(member)),
			{kind: 'totals', from: id, totals},
		);
	};

	const tell = (now: number) => {
		const {id, availabilityZone, incarnation} = mesh.self();
		// What an earlier life of a node let through still counts.
		const from = `${id} ${incarnation}`;
		const holder = holders().get(availabilityZone);
		const usages = limits.report(now);
		if (holder === undefined || holder.id === id) {
			limits.receiveNodeUsage(from, usages, now);
			addUp(now);
		} else if (usages.length > 0) {
			mesh.send([holder], {kind: 'node', from, usages});
		}
	};

	return {
		admit(account, tokens, now) {
			const limit = clients()?.byName(account)?.limit;
			return limit
				? limits.admit(account, limit, limitUnitsUsed(limit, tokens), now)
				: admitted;
		},
		receive(message, now) {
			switch (message.kind) {
				case 'node': {
					limits.receiveNodeUsage(message.from, message.usages, now);
					return;
				}

				case 'zone': {
					limits.receiveZoneUsage(message.from, message.usage, now);
					return;
				}

				case 'totals': {
					limits.receiveTotals(message.totals, now);
				}
			}
		},
		tick(now) {
			if (now < nextAt || !clients()?.hasLimits) {
				return;
			}

			nextAt = now + usageIntervalMs;
			tell(now);
		},
		states: (now) =>
			new Map(
				(clients()?.all ?? [])
					.filter(hasLimit)
					.map(({name, limit}) => [name, limits.state(name, limit, now)]),
			),
	};
};

const hasLimit = (
	account: ClientAccount,
): account is ClientAccount & {
	readonly limit: NonNullable<ClientAccount['limit']>;
} => account.limit !== undefined;
