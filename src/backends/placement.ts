/**
What a request needs of a backend server.
*/
export type Placement = {
	readonly service: string;
	/**
	The shared part of the prompt by which it is placed.
	*/
	readonly sharedPart?: {readonly id: string; readonly tokens: number};
	readonly promptTokens: number;
	/**
	Time to the first event that users hope for, in milliseconds.
	*/
	readonly targetMs: number;
	/**
	Backend servers that failed it already.
	*/
	readonly excluded: ReadonlySet<string>;
	/**
	Whether it was at a server that crashed, and goes where no other such request of this node is under way.
	*/
	readonly isIsolated?: boolean;
	/**
	Whether a more urgent request waits for room: what limited servers take is left to that one.
	*/
	readonly hasMoreUrgentWaiter?: boolean;
};
