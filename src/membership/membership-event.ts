import type {Member} from './member.ts';

/**
A heartbeat message between nodes, without the state that is piggybacked on it.
*/
export type MembershipMessage =
	| {
			readonly kind: 'ping';
			readonly sequence: number;
			readonly from: Member;
			readonly updates: readonly Member[];
	  }
	| {
			readonly kind: 'acknowledge';
			readonly sequence: number;
			readonly from: Member;
			readonly updates: readonly Member[];
	  }
	| {
			readonly kind: 'ping-request';
			readonly sequence: number;
			readonly from: Member;
			readonly target: string;
			readonly updates: readonly Member[];
	  };

/**
An input of the membership protocol.
*/
export type MembershipEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'message'; readonly message: MembershipMessage}
	| {readonly kind: 'vm-list'; readonly entryVms: readonly Member[]}
	/**
	The full view of another node, requested after a start or a pause.
	*/
	| {readonly kind: 'state'; readonly members: readonly Member[]}
	/**
	Piggybacked state, such as a new configuration, that must be sent at once.
	*/
	| {readonly kind: 'announce'}
	| {readonly kind: 'leave'};

/**
An output of the membership protocol, for the caller to carry out.
*/
export type MembershipAction =
	| {
			readonly kind: 'send';
			readonly to: Member;
			readonly message: MembershipMessage;
	  }
	| {readonly kind: 'changed'; readonly member: Member};
