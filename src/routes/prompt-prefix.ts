/**
A part of a prompt that other requests may share.
*/
export type PromptPart = {readonly id: string; readonly tokens: number};

/**
The prompt of a request, as described by the caller.
*/
export type Prompt = {
	readonly parts: readonly PromptPart[];
	readonly tokensIn: number;
	/**
	Maximum number of tokens in the response.
	*/
	readonly tokensOut: number;
	/**
	The caller's estimate of the number of tokens in the response, at most `tokensOut`; undefined without an estimate.
	*/
	readonly expectedTokensOut: number | undefined;
};

/**
Minimum length of a shared part that affects placement, in tokens. Recomputing a shorter part takes a few
milliseconds of prefill, which is less than a request waits for a particular server.
*/
export const minimumSharedTokens = 512;

/**
Parses `ID:TOKENS,ID:TOKENS`. Parts without an id or with a count that is not a number are skipped; a missing
count is 0.
*/
export const parsePromptParts = (text: string): readonly PromptPart[] =>
	text
		.split(',')
		.map((part) => {
			const [id = '', tokens = ''] = part.trim().split(':', 2);
			return {id, tokens: Number(tokens)};
		})
		.filter(({id, tokens}) => id !== '' && Number.isFinite(tokens));

/**
Returns the part that determines the placement of a request: the longest of its shared parts, which are all parts
except the last. Returns undefined if no shared part is long enough to affect placement.
*/
export const placementPart = (prompt: Prompt): PromptPart | undefined => {
	const shared = prompt.parts.slice(0, -1);
	let longest: PromptPart | undefined;
	for (const part of shared) {
		if (!longest || part.tokens > longest.tokens) {
			longest = part;
		}
	}

	return longest && longest.tokens >= minimumSharedTokens ? longest : undefined;
};
