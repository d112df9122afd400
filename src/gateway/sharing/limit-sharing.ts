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
Enforces the limits of client accounts, together with the other nodes.
*/
export type LimitSharing = {
	/**
	Decides whether to admit a request of an account.

	@param account Name of the account.
	@param tokens Tokens of the prompt plus the maximum of the answer; undefined if the request states none.
	*/
	admit(
		account: string,
		tokens: number | undefined,
		now: number,
	): SharedVerdict;
	/**
	Processes a usage message of another node.
	*/
	receive(message: UsageMessage, now: number): void;
	/**
	Sends usage to other nodes once the interval has passed; called at each tick.
	*/
	tick(now: number): void;
	/**
	State of each account that has a limit.
	*/
	states(now: number): ReadonlyMap<string, LimitState>;
};

/**
Options of `createLimitSharing`.
*/
export type LimitSharingOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usable' | 'others' | 'send'>;
	/**
	The accounts of the current routes; undefined if callers need no key.
	*/
	readonly clients: () => ClientDirectory | undefined;
	/**
	Window over which a limit is enforced, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	All availability zones.
	*/
	readonly zones: readonly string[];
	readonly hasSettled: () => boolean;
	/**
	Number of nodes in all regions, including this one.
	*/
	readonly nodes: () => number;
	/**
	Random number from 0 (inclusive) to 1 (exclusive).
	*/
	readonly randomFraction: () => number;
};

/**
Interval at which usage is sent, in milliseconds. An account that suddenly sends four times its limit is limited after
two or three intervals, within which about two seconds' worth of its limit is admitted.
*/
export const usageIntervalMs = 400;

// The holder of this role adds up the usage of its zone.
const role = 'limits';

const admitted: SharedVerdict = {kind: 'admitted'};

/**
Creates the sharing of one node. Each node sends its usage to the role holder of its zone, holders send the sum of their
zone to each other, and each holder sends the totals to the nodes of its zone. The traffic of a node is independent of the
number of nodes; that of a holder grows with the nodes of its zone and the number of zones.
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

	// Leaving nodes exit or come back as new ones; dead ones may only be unreachable and still admit requests.
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

	const holders = createZoneRoleHolders(role, mesh.self, mesh.usable);

	const sendZoneUsage = (now: number) => {
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

	const sendUsage = (now: number) => {
		const {id, availabilityZone, incarnation} = mesh.self();
		// What an earlier incarnation of a node admitted still counts.
		const from = `${id} ${incarnation}`;
		const holder = holders().get(availabilityZone);
		const usages = limits.report(now);
		if (holder === undefined || holder.id === id) {
			limits.receiveNodeUsage(from, usages, now);
			sendZoneUsage(now);
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
			sendUsage(now);
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
