import type {SlotGrant, SlotRequest} from '../peers/slot-lease-messages.ts';

/**
What this node may do with a request for a server.
*/
export type SlotAvailability =
	/**
	A lease is at hand.
	*/
	| 'ready'
	/**
	A lease has to be requested first.
	*/
	| 'unknown'
	/**
	The issuer was asked and has not answered yet.
	*/
	| 'pending'
	/**
	The issuer has granted none, or has not answered in time.
	*/
	| 'full';

/**
The leases that this node holds of one backend server.
*/
export type SlotHolder = {
	readonly incarnationId: string;
	readonly service: string;
	/**
	Id of the node that issues the server's slots; undefined while none is known.
	*/
	issuer(): string | undefined;
	/**
	Begins a new session if another node issues the slots now.
	*/
	setIssuer(id: string | undefined, now: number): void;
	availability(now: number): SlotAvailability;
	/**
	Whether requests wait for a lease of an issuer that answers.
	*/
	isWaiting(now: number): boolean;
	/**
	Whether requests that have leases may still be sent: the issuer has confirmed them recently.
	*/
	isConfirmed(now: number): boolean;
	/**
	Records that a request in the queue waits for a lease.
	*/
	want(now: number): void;
	/**
	Records that a health check, which is in no queue, waits for a lease.
	*/
	wantForProbe(now: number): void;
	receive(grant: SlotGrant, now: number): void;
	/**
	Records that a request is sent, whether or not there was a lease for it.
	*/
	recordSend(now: number): void;
	/**
	Records that a request has ended.
	*/
	recordEnd(end: SlotUse, now: number): void;
	/**
	Returns the message that is due, after returning the leases that are not needed.

	@param waiting Requests that wait, and the priority of the most urgent.
	*/
	takeRequest(waiting: WaitingRequests, now: number): SlotRequest | undefined;
	/**
	Whether the node neither holds nor wants a lease.
	*/
	isIdle(): boolean;
	held(): number;
};

/**
What became of a lease: the server ran the request, refused it, or may still be running it although this node has given up.
*/
export type SlotUse = 'ran' | 'refused' | 'left';

/**
Requests of a service that wait at this node.
*/
export type WaitingRequests = {
	readonly count: number;
	/**
	Priority of the most urgent one; 0 is the most urgent.
	*/
	readonly urgency: number;
};

/**
Time without an answer after which a server counts as full, in milliseconds.
*/
export const answerTimeoutMs = 120;

/**
Interval at which a node repeats what it holds or wants, in milliseconds.
*/
export const refreshIntervalMs = 500;

/**
Time after a confirmed message in which leases may be used, in milliseconds. Shorter than issuers count them as out.
*/
export const leaseValidityMs = 1400;

/**
Time for which a node keeps using a lease for its own waiting requests while others wait, in milliseconds. It covers the way of the
messages between two short requests.
*/
export const contendedUseMs = 150;

/**
Time for which an unused lease is kept while nobody else waits, in milliseconds.
*/
export const idleLeaseMs = 300;

/**
Time for which a lease is kept for a health check, in milliseconds. Health checks are sent at intervals.
*/
export const probeWaitMs = 1000;

/**
Time until a server has noticed that this node has given up on a request, in milliseconds.
*/
export const abandonedUseMs = 100;

/**
Creates the leases of a server where this node has some requests in flight without leases.
*/
export const createSlotHolder = (
	{
		incarnationId,
		service,
		slots,
	}: Pick<SlotRequest, 'incarnationId' | 'service' | 'slots'>,
	alreadyInFlight: number,
	nextSession: () => number,
	createdAt: number,
): SlotHolder => {
	let issuer: string | undefined;
	let session = 0;
	let sequence = 0;
	let granted = alreadyInFlight;
	let returned = 0;
	let inFlight = alreadyInFlight;
	let refusals = 0;
	let isWanting = false;
	let probeWantedAt = -Infinity;
	let statedWanted = 0;
	let isContended = false;
	let hasChanged = alreadyInFlight > 0;
	let requestedAt: number | undefined;
	let sentAt = -Infinity;
	let confirmedAt = -Infinity;
	let idleSince = createdAt;
	let contendedSince = createdAt;
	let sentAtBySequence = new Map<number, number>();
	let lingering: number[] = [];

	const idle = () => granted - returned - inFlight - lingering.length;
	const isConfirmed = (now: number) => now - confirmedAt < leaseValidityMs;

	const want = (now: number) => {
		if (isWanting) {
			return;
		}

		isWanting = true;
		requestedAt = now;
		hasChanged = true;
	};

	const countWaiting = ({count}: WaitingRequests, now: number): number =>
		count + (now - probeWantedAt < probeWaitMs ? 1 : 0);

	const isOverdue = (now: number) =>
		requestedAt !== undefined && now - requestedAt >= answerTimeoutMs;

	const returnLeases = (count: number) => {
		if (count <= 0) {
			return;
		}

		returned += count;
		hasChanged = true;
	};

	const returnUnused = (count: number, now: number) => {
		const isUnwanted =
			isContended || now - idleSince > idleLeaseMs || !isConfirmed(now);
		if (isUnwanted) {
			returnLeases(idle() - (isConfirmed(now) ? count : 0));
		}

		const remaining = lingering.filter((until) => until > now);
		returned += lingering.length - remaining.length;
		hasChanged ||= remaining.length < lingering.length;
		lingering = remaining;
	};

	return {
		incarnationId,
		service,
		issuer: () => issuer,
		setIssuer(id, now) {
			if (id === issuer) {
				return;
			}

			issuer = id;
			session = nextSession();
			sequence = 0;
			granted = inFlight + lingering.length;
			returned = 0;
			refusals = 0;
			confirmedAt = -Infinity;
			requestedAt = isWanting ? now : undefined;
			sentAtBySequence = new Map();
			hasChanged = true;
		},
		availability(now) {
			if (idle() > 0 && isConfirmed(now)) {
				return 'ready';
			}

			if (issuer === undefined) {
				return 'full';
			}

			if (!isWanting) {
				return 'unknown';
			}

			return requestedAt === undefined || isOverdue(now) ? 'full' : 'pending';
		},
		isWaiting: (now) => isWanting && !isOverdue(now),
		isConfirmed,
		want,
		wantForProbe(now) {
			probeWantedAt = now;
			want(now);
		},
		receive(grant, now) {
			if (grant.session !== session) {
				return;
			}

			const sent = sentAtBySequence.get(grant.sequence);
			if (sent !== undefined) {
				confirmedAt = Math.max(confirmedAt, sent);
			}

			if (!isContended && grant.isContended) {
				contendedSince = now;
			}

			isContended = grant.isContended;
			requestedAt = undefined;
			if (grant.granted <= granted) {
				return;
			}

			// The issuer counts granted leases as no longer wanted.
			statedWanted = Math.max(0, statedWanted - (grant.granted - granted));
			granted = grant.granted;
			idleSince = now;
		},
		recordSend(now) {
			if (idle() <= 0) {
				granted += 1;
				hasChanged = true;
			}

			inFlight += 1;
			probeWantedAt = -Infinity;
			idleSince = now;
		},
		recordEnd(use, now) {
			inFlight = Math.max(0, inFlight - 1);
			idleSince = now;
			switch (use) {
				case 'ran': {
					if (isContended && now - contendedSince > contendedUseMs) {
						contendedSince = now;
						returnLeases(1);
					}

					return;
				}

				case 'refused': {
					refusals += 1;
					returnLeases(1);
					return;
				}

				case 'left': {
					lingering.push(now + abandonedUseMs);
				}
			}
		},
		takeRequest(waiting, now) {
			if (issuer === undefined) {
				return undefined;
			}

			const count = countWaiting(waiting, now);
			returnUnused(count, now);
			const wanted = isWanting ? Math.max(0, count - idle()) : 0;
			isWanting = wanted > 0;
			const isHolding = granted > returned;
			const isDue =
				hasChanged ||
				wanted > 0 !== statedWanted > 0 ||
				wanted > 2 * statedWanted ||
				((isHolding || isWanting) && now - sentAt >= refreshIntervalMs);
			if (!isDue) {
				return undefined;
			}

			hasChanged = false;
			statedWanted = wanted;
			sequence += 1;
			sentAt = now;
			sentAtBySequence.set(sequence, now);
			sentAtBySequence.delete(sequence - rememberedRequests);
			return {
				incarnationId,
				service,
				slots,
				session,
				sequence,
				granted,
				returned,
				wanted,
				urgency: waiting.urgency,
				refusals,
			};
		},
		isIdle: () => !isWanting && granted === returned,
		held: () => granted - returned,
	};
};

// Messages whose answers may still arrive.
const rememberedRequests = 50;
