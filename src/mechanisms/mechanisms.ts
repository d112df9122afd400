import {Result} from 'true-myth';

/**
Parts of what a gateway decides by that can be switched off, one by one, to see what each is worth. All are
on unless a node is told otherwise.
*/
export const mechanisms = [
	/**
	Long prompts go to the region of the server that keeps them, or of their hash.
	*/
	'prompt-homes',
	/**
	Long prompts for one server go by way of one node of its region.
	*/
	'prompt-nodes',
	/**
	Engines are asked what they keep.
	*/
	'cache-events',
	/**
	A node that has just started asks the engines of its zone itself.
	*/
	'early-cache-events',
	/**
	Reading a prompt part again counts against a server.
	*/
	'reread-cost',
	/**
	Tokens that are still to be read count against a server.
	*/
	'reading-cost',
	/**
	Nodes of a region tell each other what engines have still to read.
	*/
	'told-reading',
	/**
	A prompt part is read by another engine where those that keep it are not likely to answer in time.
	*/
	'prompt-copies',
	/**
	What servers state of their load counts.
	*/
	'stated-load',
	/**
	What other nodes hold at a server is guessed from this node's mean over all of them.
	*/
	'smoothed-load',
	/**
	The pace of a server's streams, and the silence that it keeps, count against it.
	*/
	'pace',
	/**
	Failures count against a server.
	*/
	'failure-cost',
	/**
	Servers that owe answers in silence are doubted and left.
	*/
	'silence',
	/**
	Servers are told how urgent a request is.
	*/
	'urgency',
	/**
	Requests go to another region when the own one is full.
	*/
	'overflow',
	/**
	Requests wait for room before they are refused.
	*/
	'waiting',
	/**
	Requests that come before the first routes wait for them.
	*/
	'early-requests',
	/**
	Faults are retried only where retries help.
	*/
	'retry-yield',
	/**
	Streams are taken up again at another server.
	*/
	'resumption',
	/**
	Connections to other regions are opened before a request needs them.
	*/
	'connection-warming',
	/**
	One node of each zone reads the registry for the others.
	*/
	'registry-relay',
	/**
	Requests that crash the servers which run them are kept away from all servers.
	*/
	'quarantine',
	/**
	Limits that backend servers name are kept by all nodes together.
	*/
	'backend-limits',
	/**
	A leaving node refuses what it cannot end.
	*/
	'leaving-admission',
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
Reads names separated by commas, or nothing.
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
