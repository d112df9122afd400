import {Result} from 'true-myth';

/**
Mechanisms of the gateway that can be disabled individually to measure their effect. All are enabled by default.
*/
export const mechanisms = [
	/**
	Sends long prompts to the region of the server that has them cached, or to the region that their hash selects.
	*/
	'prompt-homes',
	/**
	Sends long prompts for one server through one node of its region.
	*/
	'prompt-nodes',
	/**
	Queries engines for their cache contents.
	*/
	'cache-events',
	/**
	Lets a node that has just started query the engines of its zone directly.
	*/
	'early-cache-events',
	/**
	Includes the cost of recomputing a prompt part in the score of a server.
	*/
	'reread-cost',
	/**
	Includes the prefill backlog, in tokens, in the score of a server.
	*/
	'reading-cost',
	/**
	Shares the prefill backlogs of engines between the nodes of a region.
	*/
	'told-reading',
	/**
	Lets another engine compute a prompt part if the engines that have it cached are unlikely to respond in time.
	*/
	'prompt-copies',
	/**
	Uses the load that servers report.
	*/
	'stated-load',
	/**
	Estimates the load that other nodes place on a server from this node's mean over all servers.
	*/
	'smoothed-load',
	/**
	Includes the pace and the silence of a server's streams in its score.
	*/
	'pace',
	/**
	Includes failures in the score of a server.
	*/
	'failure-cost',
	/**
	Suspects and avoids servers that stop responding while responses are outstanding.
	*/
	'silence',
	/**
	Sends a second call for a request whose server has been silent for as long as callers wait.
	*/
	'hedging',
	/**
	Sends the priority of a request to the server.
	*/
	'urgency',
	/**
	Sends requests to another region if the local region is full.
	*/
	'overflow',
	/**
	Queues requests until capacity is available before rejecting them.
	*/
	'waiting',
	/**
	Holds requests that arrive before the first routes are available.
	*/
	'early-requests',
	/**
	Retries failures only if retries help.
	*/
	'retry-yield',
	/**
	Resumes broken streams on another server.
	*/
	'resumption',
	/**
	Opens connections to other regions before a request needs them.
	*/
	'connection-warming',
	/**
	Lets one node of each zone read the registry for the others.
	*/
	'registry-relay',
	/**
	Quarantines requests that crash the servers that run them.
	*/
	'quarantine',
	/**
	Enforces the limits that backend servers announce across all nodes.
	*/
	'backend-limits',
	/**
	Makes a leaving node reject requests that it cannot complete.
	*/
	'leaving-admission',
	/**
	Shares the requests in flight at each server between the nodes of a region, and moves requests between regions by them.
	*/
	'regional-demand',
	/**
	Records which software version began each resumable stream, so that other nodes can continue it.
	*/
	'stream-origins',
	/**
	Sends a request to a server that fails under its own refusals only with a lease of one of its slots.
	*/
	'slot-leases',
] as const;

/**
One mechanism that can be switched off.
*/
export type Mechanism = (typeof mechanisms)[number];

/**
The mechanisms that are switched off.
*/
export type DisabledMechanisms = ReadonlySet<Mechanism>;

/**
Parses comma-separated names of mechanisms; an empty text disables none.
*/
export const parseDisabledMechanisms = (
	text: string,
): Result<DisabledMechanisms, string> => {
	const names = text
		.split(',')
		.map((name) => name.trim())
		.filter((name) => name !== '');
	const unknown = names.filter((name) => !isMechanism(name));
	return unknown.length > 0
		? Result.err(
				`names no mechanism: ${unknown.join(', ')}; there are ${mechanisms.join(', ')}`,
			)
		: Result.ok(new Set(names.filter((name) => isMechanism(name))));
};

const isMechanism = (name: string): name is Mechanism =>
	(mechanisms as readonly string[]).includes(name);
