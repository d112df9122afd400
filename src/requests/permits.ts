import {createHmac} from 'node:crypto';
import {isEqualInConstantTime} from '../shared/index.ts';
import type {Outcome} from '../errors/index.ts';

/**
The process that issued a request id; only that process may run the request.
*/
export type PermitIssuer = {
	readonly node: string;
	/**
	Identifies one run of the node's process.
	*/
	readonly epoch: string;
};

/**
Record of a request that was run under a permit.
*/
export type PermitRecord<StoredAnswer> =
	| {readonly kind: 'running'; readonly answer: StoredAnswer}
	| {
			readonly kind: 'ended';
			readonly outcome: Outcome;
			readonly answer: StoredAnswer | undefined;
	  };

/**
Result of redeeming a permit.
*/
export type Redemption<StoredAnswer> =
	/**
	First use: run the request.
	*/
	| {readonly kind: 'run'}
	/**
	Repeated use: return the same answer.
	*/
	| {readonly kind: 'repeat'; readonly record: PermitRecord<StoredAnswer>}
	/**
	The id was used by another client or with another body.
	*/
	| {readonly kind: 'conflict'}
	/**
	Issued by another node, to which the request must be forwarded.
	*/
	| {readonly kind: 'elsewhere'; readonly issuer: PermitIssuer}
	/**
	Issued by an earlier process of this node, or longer ago than uses are remembered.
	*/
	| {readonly kind: 'forgotten'}
	/**
	Not an id that a node issued.
	*/
	| {readonly kind: 'not-issued'};

/**
Options of `createPermits`.
*/
export type PermitOptions = {
	readonly node: string;
	readonly epoch: string;
	/**
	Key of the HMAC in each id, which proves that this process issued it; never leaves the process.
	*/
	readonly secret: string;
	/**
	How long a use is remembered, in milliseconds.
	*/
	readonly retentionMs?: number;
};

/**
Identifies the request that a permit is redeemed for.
*/
export type PermitUse = {
	readonly requestId: string;
	readonly clientName: string;
	readonly bodyDigest: string;
};

/**
Permits of one process. Each permit lets one request run at most once.
*/
export type Permits<StoredAnswer> = {
	issue(now: number): string;
	redeem(use: PermitUse, now: number): Redemption<StoredAnswer>;
	/**
	Attaches the answer that repeated requests get while the request runs.
	*/
	attach(requestId: string, answer: StoredAnswer): void;
	/**
	Records the end of a request; after `not-run` the permit can be used again.
	*/
	end(
		requestId: string,
		outcome: Outcome,
		answer: StoredAnswer | undefined,
	): void;
	/**
	Whether a request with this id may have run, here or elsewhere.
	*/
	mayHaveRun(requestId: string): boolean;
	/**
	Number of remembered uses.
	*/
	size(): number;
};

type Use<StoredAnswer> = {
	readonly clientName: string;
	readonly bodyDigest: string;
	readonly usedAt: number;
	readonly record: PermitRecord<StoredAnswer> | undefined;
};

/**
Default time for which a use is remembered: 10 minutes, in milliseconds.
*/
export const permitRetentionMs = 600_000;

const signatureLength = 16;

/**
Parses an issued id; returns undefined for any other text.
*/
export const parsePermit = (requestId: string) => {
	const groups =
		/^(?<node>[\da-z][\d\-.a-z]*):(?<epoch>[\da-f]+):(?<at>[\da-z]+):(?<count>[\da-z]+):(?<seal>[\da-f]{16})$/v.exec(
			requestId,
		)?.groups;
	return groups
		? {
				node: groups.node!,
				epoch: groups.epoch!,
				at: Number.parseInt(groups.at!, 36),
				count: Number.parseInt(groups.count!, 36),
				seal: groups.seal!,
			}
		: undefined;
};

/**
 Creates the permits of one process.
 
 An id names the process that issued it, and only that process may run the request.
 Two nodes therefore never run the same id, even during a network partition, and no
 coordination is needed. When the process ends, its permits are no longer valid.
 */
export const createPermits = <StoredAnswer>(
	options: PermitOptions,
): Permits<StoredAnswer> => {
	const {node, epoch, secret} = options;
	const retentionMs = options.retentionMs ?? permitRetentionMs;
	const uses = new Map<string, Use<StoredAnswer>>();
	let count = 0;

	const sign = (text: string) =>
		createHmac('sha256', secret)
			.update(text)
			.digest('hex')
			.slice(0, signatureLength);

	const isExpired = (at: number, now: number) => now - at >= retentionMs;

	const removeExpired = (now: number) => {
		// The map keeps insertion order, so the oldest uses come first.
		for (const [requestId, use] of uses) {
			if (!isExpired(use.usedAt, now)) {
				return;
			}

			if (use.record?.kind !== 'running') {
				uses.delete(requestId);
			}
		}
	};

	const redeemLocal = (
		use: PermitUse,
		at: number,
		now: number,
	): Redemption<StoredAnswer> => {
		const earlier = uses.get(use.requestId);
		if (earlier) {
			const isSame =
				earlier.clientName === use.clientName &&
				earlier.bodyDigest === use.bodyDigest;
			if (!isSame) {
				return {kind: 'conflict'};
			}

			return earlier.record
				? {kind: 'repeat', record: earlier.record}
				: {kind: 'forgotten'};
		}

		// Uses older than the retention are removed, so an expired id without a record may have been
		// used: it is never run.
		if (isExpired(at, now)) {
			return {kind: 'forgotten'};
		}

		uses.set(use.requestId, {...use, usedAt: now, record: undefined});
		return {kind: 'run'};
	};

	return {
		issue(now) {
			count += 1;
			const text = `${node}:${epoch}:${Math.floor(now).toString(36)}:${count.toString(36)}`;
			return `${text}:${sign(text)}`;
		},
		redeem(use, now) {
			removeExpired(now);
			const permit = parsePermit(use.requestId);
			if (!permit) {
				return {kind: 'not-issued'};
			}

			if (permit.node !== node) {
				return {kind: 'elsewhere', issuer: permit};
			}

			if (permit.epoch !== epoch) {
				return {kind: 'forgotten'};
			}

			const text = use.requestId.slice(0, -(signatureLength + 1));
			return isEqualInConstantTime(sign(text), permit.seal)
				? redeemLocal(use, permit.at, now)
				: {kind: 'not-issued'};
		},
		attach(requestId, answer) {
			const use = uses.get(requestId);
			if (use) {
				uses.set(requestId, {
					...use,
					record: {kind: 'running', answer},
				});
			}
		},
		end(requestId, outcome, answer) {
			const use = uses.get(requestId);
			if (!use) {
				return;
			}

			if (outcome === 'not-run') {
				uses.delete(requestId);
				return;
			}

			uses.set(requestId, {
				...use,
				record: {kind: 'ended', outcome, answer},
			});
		},
		mayHaveRun(requestId) {
			const permit = parsePermit(requestId);
			return (
				permit !== undefined &&
				(permit.node !== node || permit.epoch !== epoch || uses.has(requestId))
			);
		},
		size: () => uses.size,
	};
};
