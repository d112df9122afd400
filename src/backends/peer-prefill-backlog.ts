/**
Tokens of long prompts that other nodes sent to one server and that are still to be read, as they told it.
*/
export type PeerPrefillBacklog = {
	/**
	Takes in what a node says; what it said before, or says in an earlier message that comes later, does not count.
	*/
	record(node: string, tokens: number, sequence: number, now: number): void;
	/**
	The sum over all nodes.
	*/
	tokens(now: number): number;
};

/**
How long a node's word counts, in milliseconds: longer than engines take to come to a prompt, and short enough that the
word that a prompt is read, where it was lost, is not missed for long.
*/
export const prefillBacklogMaximumAgeMs = 3000;

type Word = {
	readonly tokens: number;
	readonly sequence: number;
	readonly heardAt: number;
};

/**
Builds what was told nothing.
*/
export const createPeerPrefillBacklog = (): PeerPrefillBacklog => {
	const words = new Map<string, Word>();

	return {
		record(node, tokens, sequence, now) {
			const known = words.get(node);
			if (known && known.sequence >= sequence) {
				return;
			}

			words.set(node, {tokens, sequence, heardAt: now});
		},
		tokens(now) {
			let sum = 0;
			for (const [node, {tokens, heardAt}] of words) {
				if (now - heardAt > prefillBacklogMaximumAgeMs) {
					words.delete(node);
				} else {
					sum += tokens;
				}
			}

			return sum;
		},
	};
};
