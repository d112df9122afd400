/**
 A part of a node that holds state.
 
 The host calls the hooks of all controllers in the order in which they were added,
 and `stop` in the reverse order; every hook may be left out.
 */
export type Controller = {
	readonly name: string;
	/**
	Called once, before the node serves.
	*/
	start?(): Promise<void>;
	/**
	Called about ten times a second.
	*/
	tick?(now: number): void;
	/**
	Called in place of the tick after the process was paused; what is known is old.
	*/
	woken?(now: number, pausedMs: number): void;
	/**
	Called once, when all requests have ended.
	*/
	stop?(): Promise<void>;
};
