import type {Member} from './member.ts';

/**
A heartbeat message between nodes, without its piggybacked state.
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
Something that happened, as membership takes it in.
*/
export type MembershipEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'message'; readonly message: MembershipMessage}
	| {readonly kind: 'vm-list'; readonly entryVms: readonly Member[]}
	/**
	The whole view of another node, asked for after a start or a pause.
	*/
	| {readonly kind: 'state'; readonly members: readonly Member[]}
	/**
	Word to be spread at once, such as a new configuration.
	*/
	| {readonly kind: 'announce'}
	| {readonly kind: 'leave'};

/**
Something that membership wants done.
*/
export type MembershipAction =
	| {
			readonly kind: 'send';
			readonly to: Member;
			readonly message: MembershipMessage;
	  }
	| {readonly kind: 'changed'; readonly member: Member};
