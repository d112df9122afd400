/**
The host and the path with query that a request asks for.
*/
export type RequestTarget = {
	readonly host: string;
	readonly target: string;
};

const absolutePattern =
	/^https?:\/\/(?<authority>[^#\/?]+)(?<rest>(?:[\/?].*)?)$/iv;

/**
Reads a request target. One in absolute form replaces the Host header (RFC 9112, section 3.2.2), and servers are sent its path.

@param target As received.
@param host Value of the Host header.
*/
export const readRequestTarget = (
	target: string,
	host: string,
): RequestTarget => {
	// Most targets are paths, which need no match.
	const parts = target.startsWith('/')
		? undefined
		: absolutePattern.exec(target)?.groups;
	if (!parts) {
		return {host, target};
	}

	const {authority = '', rest = ''} = parts;
	return {
		host: authority,
		target: rest.startsWith('/') ? rest : `/${rest}`,
	};
};

/**
Returns raw headers with another value of the Host header.
*/
export const withHost = (
	rawHeaders: readonly string[],
	host: string,
): readonly string[] =>
	rawHeaders.map((text, index) =>
		index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'host'
			? host
			: text,
	);
