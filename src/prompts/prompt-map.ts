/**
One change: the tokens of a part that a backend server keeps, 0 for none. An empty part stands for all
parts of the server.
*/
export type PromptChange = readonly [
	server: string,
	part: string,
	tokens: number,
];

/**
Which backend server keeps which long prompt part, as far as was heard.
*/
export type PromptMap = {
	/**
	Whether the change is news.
	*/
	apply(change: PromptChange): boolean;
	holds(server: string, part: string): boolean;
	/**
	Backend servers that keep a part.
	*/
	holders(part: string): readonly string[];
	servers(): readonly string[];
	/**
	All that is known, as changes to an empty map.
	*/
	changes(): readonly PromptChange[];
	clear(): void;
};

/**
Parts that are remembered for one backend server at the most, the latest ones: as many long parts as
the memory of an engine holds, several times over.
*/
export const maximumPartsPerServer = 400;

/**
Builds an empty map.
*/
export const createPromptMap = (): PromptMap => {
	const byServer = new Map<string, Map<string, number>>();
	const byPart = new Map<string, Set<string>>();

	const hasDropped = (server: string, part: string): boolean => {
		const holders = byPart.get(part);
		holders?.delete(server);
		if (holders?.size === 0) {
			byPart.delete(part);
		}

		return byServer.get(server)?.delete(part) ?? false;
	};

	const hasDroppedServer = (server: string): boolean => {
		for (const part of byServer.get(server)?.keys() ?? []) {
			hasDropped(server, part);
		}

		return byServer.delete(server);
	};

	const isKeptAnew = (
		server: string,
		part: string,
		tokens: number,
	): boolean => {
		const parts = byServer.get(server) ?? new Map<string, number>();
		byServer.set(server, parts);
		const isNews = parts.get(part) !== tokens;
		// Entered anew, so that the first key is the one heard of longest ago.
		parts.delete(part);
		parts.set(part, tokens);
		const holders = byPart.get(part) ?? new Set<string>();
		byPart.set(part, holders.add(server));
		if (parts.size > maximumPartsPerServer) {
			const [oldest = ''] = parts.keys();
			hasDropped(server, oldest);
		}

		return isNews;
	};

	return {
		apply([server, part, tokens]) {
			if (part === '') {
				return hasDroppedServer(server);
			}

			return tokens > 0
				? isKeptAnew(server, part, tokens)
				: hasDropped(server, part);
		},
		holds: (server, part) => byPart.get(part)?.has(server) ?? false,
		holders: (part) => [...(byPart.get(part) ?? [])],
		servers: () => byServer.keys().toArray(),
		changes: () =>
			[...byServer].flatMap(([server, parts]) =>
				[...parts].map(([part, tokens]) => [server, part, tokens] as const),
			),
		clear() {
			byServer.clear();
			byPart.clear();
		},
	};
};
