import type {Random} from '../shared/index.ts';

/**
The suspected parts of prompts that were in a complete answer of this node and of which the other nodes must be told.

At a crash nearly all nodes have requests with the parts that all prompts have, and soon answers too. So that not each of them tells
all others, a node waits for a random time, and tells nothing of a part of which it hears meanwhile.
*/
export type ServedParts = {
	/**
	Adds a part. `nodes` is the number of nodes to be told.
	*/
	add(fingerprint: string, nodes: number, now: number): void;
	/**
	Drops a part of which another node has told.
	*/
	forget(fingerprint: string): void;
	/**
	Removes and returns the parts whose time has come; called at each tick.
	*/
	takeDue(now: number): readonly string[];
};

/**
Longest wait per node to be told, in milliseconds. A message takes up to a tick and a hundred milliseconds to all regions, so some fifty
nodes tell of the same part, however many there are.
*/
export const waitPerNodeMs = 5;

/**
Maximum number of parts that wait; further ones are not told.
*/
export const maximumWaitingParts = 256;

/**
Creates an empty set.
*/
export const createServedParts = (
	random: Pick<Random, 'fraction'>,
): ServedParts => {
	const dueAt = new Map<string, number>();

	return {
		add(fingerprint, nodes, now) {
			if (dueAt.size < maximumWaitingParts) {
				dueAt.set(fingerprint, now + random.fraction() * nodes * waitPerNodeMs);
			}
		},
		forget(fingerprint) {
			dueAt.delete(fingerprint);
		},
		takeDue(now) {
			const due = dueAt
				.entries()
				.filter(([, at]) => at <= now)
				.map(([fingerprint]) => fingerprint)
				.toArray();
			for (const fingerprint of due) {
				dueAt.delete(fingerprint);
			}

			return due;
		},
	};
};
