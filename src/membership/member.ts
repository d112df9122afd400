import type {Address} from '../shared/index.ts';

/**
The state of a member, as another node sees it.
*/
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

/**
One entry node, known from heartbeats or from the VM list.
*/
export type Member = {
	readonly id: string;
	readonly availabilityZone: string;
	/**
	Address for other nodes: UDP for heartbeats, TCP for calls.
	*/
	readonly peerAddress: Address;
	/**
	Address for callers.
	*/
	readonly callerAddress: Address;
	/**
	 When the process started, in milliseconds since the epoch; 0 while the member is known from
	 the VM list only. A later start always takes precedence over an earlier one.
	 */
	readonly incarnation: number;
	/**
	Incremented by the member itself to refute a suspicion.
	*/
	readonly revision: number;
	readonly status: MemberStatus;
};

const statusRank: Readonly<Record<MemberStatus, number>> = {
	alive: 0,
	suspect: 1,
	leaving: 2,
	dead: 3,
};

/**
 Whether one update about a member takes precedence over another.
 
 The later incarnation wins, then the later revision, then the graver status: at equal
 incarnation and revision, leaving or dead wins. Only the member itself can increment its revision.
 */
export const hasPrecedence = (candidate: Member, current: Member): boolean => {
	if (candidate.incarnation !== current.incarnation) {
		return candidate.incarnation > current.incarnation;
	}

	if (current.status === 'leaving' && candidate.status !== 'dead') {
		return false;
	}

	return candidate.revision === current.revision
		? statusRank[candidate.status] > statusRank[current.status]
		: candidate.revision > current.revision;
};
