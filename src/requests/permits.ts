import {createHmac} from 'node:crypto';
import {isEqualInConstantTime} from '../shared/index.ts';
import type {Outcome} from '../errors/index.ts';

/**
Who may run a request, read from its id.
*/
export type PermitIssuer = {
	readonly node: string;
	/**
	Names one start of the node's process.
	*/
	readonly epoch: string;
};

/**
What is kept of a request that was run under a permit.
*/
export type PermitRecord<Kept> =
	| {readonly kind: 'running'; readonly answer: Kept}
	| {
			readonly kind: 'ended';
			readonly outcome: Outcome;
			readonly answer: Kept | undefined;
	  };

/**
What redeeming a permit leads to.
*/
export type Redemption<Kept> =
	/**
	First use: run it, once.
	*/
	| {readonly kind: 'run'}
	/**
	Used before: give the same answer.
	*/
	| {readonly kind: 'repeat'; readonly record: PermitRecord<Kept>}
	/**
	Used before by another client or with another body.
	*/
	| {readonly kind: 'conflict'}
	/**
	Issued by another node, which must be asked.
	*/
	| {readonly kind: 'elsewhere'; readonly holder: PermitIssuer}
	/**
	Issued by an earlier process of this node, or so long ago that its use is forgotten.
	*/
	| {readonly kind: 'forgotten'}
	/**
	Not an id that the system issued.
	*/
	| {readonly kind: 'not-issued'};

/**
What permits are built from.
*/
export type PermitOptions = {
	readonly node: string;
	readonly epoch: string;
	/**
	Known to this process alone; proves that it issued an id.
	*/
	readonly secret: string;
	/**
	Milliseconds for which a use is remembered.
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
Permits of one process: each lets one request run at most once.
*/
export type Permits<Kept> = {
	issue(now: number): string;
	redeem(use: PermitUse, now: number): Redemption<Kept>;
	/**
	Attaches what a repeat is to be answered with while the request runs.
	*/
	attach(requestId: string, kept: Kept): void;
	/**
	Records the end; `not-run` makes the permit usable again.
	*/
	end(requestId: string, outcome: Outcome, kept: Kept | undefined): void;
	/**
	Whether a request with this id may have run, here or elsewhere.
	*/
	mayHaveRun(requestId: string): boolean;
	/**
	Uses remembered at present.
	*/
	size(): number;
};

type Use<Kept> = {
	readonly clientName: string;
	readonly bodyDigest: string;
	readonly usedAt: number;
	readonly record: PermitRecord<Kept> | undefined;
};

/**
How long a use is remembered unless stated otherwise: ten minutes.
*/
export const permitRetentionMs = 600_000;

const sealLength = 16;

/**
The parts of an issued id, or undefined for any other text.
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
 Builds the permits of one process.
 
 An id names the process that issued it, and only that process may run the request.
 So no two nodes can both believe that they may, however their views differ, and no
 message is needed to be sure of it. When the process is gone, so is the permit.
 */
export const createPermits = <Kept>(options: PermitOptions): Permits<Kept> => {
	const {node, epoch, secret} = options;
	const retentionMs = options.retentionMs ?? permitRetentionMs;
	const uses = new Map<string, Use<Kept>>();
	let count = 0;

	const sealOf = (text: string) =>
		createHmac('sha256', secret)
			.update(text)
			.digest('hex')
			.slice(0, sealLength);

	const isExpired = (at: number, now: number) => now - at >= retentionMs;

	const forget = (now: number) => {
		// Uses are kept in the order in which they were made, so the oldest come first.
		for (const [requestId, use] of uses) {
			if (!isExpired(use.usedAt, now)) {
				return;
			}

			if (use.record?.kind !== 'running') {
				uses.delete(requestId);
			}
		}
	};

	const judgeOwn = (
		use: PermitUse,
		at: number,
		now: number,
	): Redemption<Kept> => {
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

		// The use of an id is remembered from its first use, so an old id that is not
		// remembered may have been used: it is never run.
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
			return `${text}:${sealOf(text)}`;
		},
		redeem(use, now) {
			forget(now);
			const permit = parsePermit(use.requestId);
			if (!permit) {
				return {kind: 'not-issued'};
			}

			if (permit.node !== node) {
				return {kind: 'elsewhere', holder: permit};
			}

			if (permit.epoch !== epoch) {
				return {kind: 'forgotten'};
			}

			const text = use.requestId.slice(0, -(sealLength + 1));
			return isEqualInConstantTime(sealOf(text), permit.seal)
				? judgeOwn(use, permit.at, now)
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
