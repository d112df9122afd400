/**
 A stateful component of a node.

 The host calls the hooks of all controllers in the order in which they were added,
 and `stop` in reverse order. All hooks are optional.
 */
export type Controller = {
	readonly name: string;
	/**
	Called once, before the node receives requests.
	*/
	start?(): Promise<void>;
	/**
	Called about ten times per second.
	*/
	tick?(now: number): void;
	/**
	Called after the process was paused, because all known state may be stale.
	*/
	resumed?(now: number, pausedMs: number): void;
	/**
	Called once, when all requests have ended.
	*/
	stop?(): Promise<void>;
};
