import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Member} from '../membership/index.ts';
import type {
	SlotGrant,
	SlotLeaseMessage,
	SlotRequest,
} from '../peers/slot-lease-messages.ts';
import {createDerived, rendezvousFirst} from '../shared/index.ts';
import {createSlotCeiling} from './slot-ceiling.ts';
import {
	createSlotHolder,
	type SlotAvailability,
	type SlotHolder,
	type SlotUse,
	type WaitingRequests,
} from './slot-holder.ts';
import {
	createSlotIssuer,
	type AddressedGrant,
	type SlotIssuer,
} from './slot-issuer.ts';

/**
A backend server for whose slots there may be leases.
*/
export type LeasedServer = {
	/**
	Identifies one incarnation of the server.
	*/
	readonly incarnationId: string;
	readonly service: string;
	readonly slots: number;
	/**
	Requests of this node in flight at the server.
	*/
	readonly inFlight: number;
};

/**
Leases of slots at backend servers that fail when they have to refuse too many requests. For each such server, one node of the region
issues its slots to the others, and a request is sent only with a lease.
*/
export type SlotLeases = {
	/**
	Whether requests to a service need leases.
	*/
	isRequired(service: string): boolean;
	availability(server: LeasedServer, now: number): SlotAvailability;
	/**
	Whether requests of a service may wait for leases at one more server.
	*/
	canRequest(service: string, now: number): boolean;
	/**
	Requests a lease for requests that wait.
	*/
	request(server: LeasedServer, now: number): void;
	/**
	Requests a lease for a health check.
	*/
	requestForProbe(server: LeasedServer, now: number): void;
	/**
	Records that a request is sent; called before it counts as in flight.
	*/
	recordSend(server: LeasedServer, now: number): void;
	recordEnd(incarnationId: string, use: SlotUse, now: number): void;
	/**
	Whether a request for which there was a lease may still be sent.
	*/
	canBegin(incarnationId: string, now: number): boolean;
	/**
	Processes a message of another node.
	*/
	receive(message: SlotLeaseMessage, now: number): void;
	tick(now: number): void;
	/**
	For metrics: leases that this node holds, leases of the servers whose slots it issues, and requests that servers refused
	although there was a lease.
	*/
	held(): number;
	issued(): number;
	refusals(): number;
};

/**
Options of `createSlotLeases`.
*/
export type SlotLeasesOptions = {
	readonly self: string;
	/**
	The other reachable nodes that send to the same servers; replaced by another array when they change.
	*/
	readonly peers: () => readonly Member[];
	/**
	Whether this node knows the other nodes and serves requests.
	*/
	readonly canIssue: () => boolean;
	/**
	Fraction of all such nodes that is reachable, including this one, from 0 to 1.
	*/
	readonly reachableFraction: () => number;
	/**
	Returns how many requests a second each server of a service may refuse; undefined if its requests need no leases.
	*/
	readonly refusalsPerSecond: (service: string) => number | undefined;
	/**
	Returns the requests of a service that wait at this node.
	*/
	readonly waiting: (service: string) => WaitingRequests;
	/**
	Returns the servers of a service at which this node has requests in flight.
	*/
	readonly serversInUse: (service: string) => readonly LeasedServer[];
	readonly services: () => readonly string[];
	readonly send: (
		members: readonly Member[],
		message: SlotLeaseMessage,
	) => void;
	/**
	Called when a lease was granted.
	*/
	readonly onGranted: () => void;
	/**
	Number that is higher than the sessions of earlier incarnations of this node.
	*/
	readonly firstSession: () => number;
	/**
	Runs a function soon, after the requests that are being handled.
	*/
	readonly defer: (run: () => void) => void;
	readonly clock: () => number;
	readonly without: DisabledMechanisms;
	readonly logger: Logger;
};

/**
Maximum number of servers of one service at which the requests of a node wait at the same time.
*/
export const maximumServersAsked = 3;

type IssuedServer = {
	readonly issuer: SlotIssuer;
	receivedAt: number;
};

/**
Creates leases; none are needed before a service has a limit on refusals.
*/
export const createSlotLeases = (options: SlotLeasesOptions): SlotLeases => {
	const {self, peers, canIssue, refusalsPerSecond, waiting, clock, logger} =
		options;
	const isOff = options.without.has('slot-leases');
	const holders = new Map<string, SlotHolder>();
	const issued = new Map<string, IssuedServer>();
	const leasedServices = new Set<string>();
	const dirty = new Set<SlotHolder>();
	let isFlushPlanned = false;
	let refusals = 0;
	let session = options.firstSession();

	const nextSession = () => {
		session += 1;
		return session;
	};

	const isRequired = (service: string): boolean =>
		!isOff && refusalsPerSecond(service) !== undefined;

	const membersById = createDerived(
		peers,
		(members) => new Map(members.map((member) => [member.id, member])),
	);
	const issuersAmongPeers = createDerived(
		peers,
		() => new Map<string, string | undefined>(),
	);
	const issuersWithSelf = createDerived(
		peers,
		() => new Map<string, string | undefined>(),
	);

	const issuerOf = (incarnationId: string): string | undefined => {
		// Other nodes that ask this one know enough nodes to choose it.
		const isCandidate = canIssue() || issued.has(incarnationId);
		const known = isCandidate ? issuersWithSelf() : issuersAmongPeers();
		if (!known.has(incarnationId)) {
			const ids = [...membersById().keys(), ...(isCandidate ? [self] : [])];
			known.set(
				incarnationId,
				rendezvousFirst(incarnationId, ids, (id) => id),
			);
		}

		return known.get(incarnationId);
	};

	const holderOf = (server: LeasedServer, now: number): SlotHolder => {
		const {incarnationId, inFlight} = server;
		const known = holders.get(incarnationId);
		if (known) {
			return known;
		}

		const holder = createSlotHolder(server, inFlight, nextSession, now);
		holder.setIssuer(issuerOf(incarnationId), now);
		holders.set(incarnationId, holder);
		return holder;
	};

	const plan = (holder: SlotHolder) => {
		dirty.add(holder);
		if (isFlushPlanned) {
			return;
		}

		isFlushPlanned = true;
		options.defer(flush);
	};

	const flush = () => {
		isFlushPlanned = false;
		sendRequests([...dirty], clock());
		dirty.clear();
	};

	const sendRequests = (each: readonly SlotHolder[], now: number) => {
		const byIssuer = new Map<string, SlotRequest[]>();
		for (const holder of each) {
			const request = holder.takeRequest(waiting(holder.service), now);
			const issuer = holder.issuer();
			if (!request || issuer === undefined) {
				continue;
			}

			const requests = byIssuer.get(issuer) ?? [];
			requests.push(request);
			byIssuer.set(issuer, requests);
		}

		for (const [issuer, requests] of byIssuer) {
			const member = membersById().get(issuer);
			if (issuer === self) {
				receiveRequests(self, requests, now);
			} else if (member) {
				options.send([member], {kind: 'slot-requests', from: self, requests});
			}
		}
	};

	const sendGrants = (addressed: readonly AddressedGrant[], now: number) => {
		for (const [to, each] of Map.groupBy(addressed, (grant) => grant.to)) {
			const grants = each.map(({grant}) => grant);
			const member = membersById().get(to);
			if (to === self) {
				receiveGrants(grants, now);
			} else if (member) {
				options.send([member], {kind: 'slot-grants', from: self, grants});
			}
		}
	};

	const issuedServerOf = (
		{incarnationId, service, slots}: SlotRequest,
		now: number,
	): IssuedServer => {
		const known = issued.get(incarnationId);
		if (known) {
			return known;
		}

		const ceiling = createSlotCeiling(
			{
				slots,
				refusalsPerSecond: () => refusalsPerSecond(service) ?? Infinity,
				reachableFraction: options.reachableFraction,
				onLowered(fields) {
					logger.info(
						{server: incarnationId, service, ...fields},
						'backend server refused a leased request; fewer leases are issued',
					);
				},
			},
			now,
		);
		const created = {
			issuer: createSlotIssuer(incarnationId, ceiling),
			receivedAt: now,
		};
		issued.set(incarnationId, created);
		logger.info(
			{
				server: incarnationId,
				service,
				slots,
				refusalsPerSecond: refusalsPerSecond(service),
				nodes: peers().length + 1,
				reachableFraction: options.reachableFraction(),
			},
			'this node issues the slots of a backend server',
		);
		return created;
	};

	const receiveRequests = (
		from: string,
		requests: readonly SlotRequest[],
		now: number,
	) => {
		const grants: AddressedGrant[] = [];
		for (const request of requests) {
			// A node that has just started may believe that another node issues the slots.
			if (canIssue() && issuerOf(request.incarnationId) !== self) {
				continue;
			}

			const server = issuedServerOf(request, now);
			server.receivedAt = now;
			grants.push(...server.issuer.receive(from, request, now));
		}

		sendGrants(grants, now);
	};

	const receiveGrants = (grants: readonly SlotGrant[], now: number) => {
		let hasGranted = false;
		for (const grant of grants) {
			const holder = holders.get(grant.incarnationId);
			holder?.receive(grant, now);
			hasGranted ||= holder?.availability(now) === 'ready';
		}

		if (!hasGranted) {
			return;
		}

		options.onGranted();
		for (const {incarnationId} of grants) {
			const holder = holders.get(incarnationId);
			if (holder) {
				plan(holder);
			}
		}
	};

	const countRequested = (service: string, now: number): number =>
		holders
			.values()
			.filter((holder) => holder.service === service && holder.isWaiting(now))
			.toArray().length;

	// Requests that were in flight before the servers stated their limit have no leases, but take slots.
	const adoptRequests = (now: number) => {
		for (const service of options.services()) {
			if (leasedServices.has(service)) {
				continue;
			}

			leasedServices.add(service);
			for (const server of options.serversInUse(service)) {
				if (server.inFlight > 0) {
					holderOf(server, now);
				}
			}
		}
	};

	const dropUnneeded = (now: number) => {
		for (const service of leasedServices) {
			if (refusalsPerSecond(service) === undefined) {
				leasedServices.delete(service);
			}
		}

		for (const [incarnationId, holder] of holders) {
			if (!holder.isIdle() && isRequired(holder.service)) {
				continue;
			}

			holders.delete(incarnationId);
			dirty.delete(holder);
		}

		for (const [incarnationId, {issuer, receivedAt}] of issued) {
			if (issuer.isIdle() && now - receivedAt > issuerRetentionMs) {
				issued.delete(incarnationId);
			}
		}
	};

	return {
		isRequired,
		availability(server, now) {
			const known = holders.get(server.incarnationId);
			return (
				known?.availability(now) ??
				(canIssue() || peers().length > 0 ? 'unknown' : 'full')
			);
		},
		canRequest: (service, now) =>
			countRequested(service, now) < maximumServersAsked,
		request(server, now) {
			const holder = holderOf(server, now);
			holder.want(now);
			plan(holder);
		},
		requestForProbe(server, now) {
			const holder = holderOf(server, now);
			holder.wantForProbe(now);
			plan(holder);
		},
		recordSend(server, now) {
			if (!isRequired(server.service)) {
				return;
			}

			const holder = holderOf(server, now);
			holder.recordSend(now);
			plan(holder);
		},
		recordEnd(incarnationId, use, now) {
			const holder = holders.get(incarnationId);
			if (!holder) {
				return;
			}

			refusals += use === 'refused' ? 1 : 0;
			holder.recordEnd(use, now);
			plan(holder);
		},
		canBegin: (incarnationId, now) =>
			holders.get(incarnationId)?.isConfirmed(now) ?? true,
		receive(message, now) {
			if (isOff) {
				return;
			}

			switch (message.kind) {
				case 'slot-requests': {
					receiveRequests(message.from, message.requests, now);
					return;
				}

				case 'slot-grants': {
					receiveGrants(message.grants, now);
				}
			}
		},
		tick(now) {
			if (isOff) {
				return;
			}

			adoptRequests(now);
			dropUnneeded(now);
			for (const holder of holders.values()) {
				holder.setIssuer(issuerOf(holder.incarnationId), now);
			}

			sendRequests(holders.values().toArray(), now);
			sendGrants(
				issued
					.values()
					.flatMap(({issuer}) => issuer.tick(now))
					.toArray(),
				now,
			);
		},
		held: () => sumOf(holders.values(), (holder) => holder.held()),
		issued: () => sumOf(issued.values(), ({issuer}) => issuer.outstanding()),
		refusals: () => refusals,
	};
};

// Time after the last message about a server until its issuer forgets what it has learned, in milliseconds.
const issuerRetentionMs = 30_000;

const sumOf = <Each>(
	values: Iterable<Each>,
	of: (each: Each) => number,
): number => {
	let sum = 0;
	for (const each of values) {
		sum += of(each);
	}

	return sum;
};
