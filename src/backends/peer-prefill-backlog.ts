/**
Tokens of long prompts that other nodes sent to one server and that it has not processed yet, as reported by those nodes.
*/
export type PeerPrefillBacklog = {
	/**
	Replaces the report of a node; ignores messages that arrive out of order.
	*/
	record(node: string, tokens: number, sequence: number, now: number): void;
	/**
	Returns the sum over all nodes.
	*/
	tokens(now: number): number;
};

/**
Time after which a report expires, in milliseconds. It exceeds the time that engines take to start on a prompt, and is short
enough to limit the effect of a lost message that reports the end of a prefill.
*/
export const prefillBacklogMaximumAgeMs = 3000;

type Report = {
	readonly tokens: number;
	readonly sequence: number;
	readonly receivedAt: number;
};

/**
Creates a backlog without reports.
*/
export const createPeerPrefillBacklog = (): PeerPrefillBacklog => {
	const reports = new Map<string, Report>();

	return {
		record(node, tokens, sequence, now) {
			const known = reports.get(node);
			if (known && known.sequence >= sequence) {
				return;
			}

			reports.set(node, {tokens, sequence, receivedAt: now});
		},
		tokens(now) {
			let sum = 0;
			for (const [node, {tokens, receivedAt}] of reports) {
				if (now - receivedAt > prefillBacklogMaximumAgeMs) {
					reports.delete(node);
				} else {
					sum += tokens;
				}
			}

			return sum;
		},
	};
};
