/**
One change: the number of tokens of a prompt part that a backend server caches; 0 if it caches none. An empty part
stands for all parts of the server.
*/
export type PromptChange = readonly [
	server: string,
	part: string,
	tokens: number,
];

/**
Which backend servers cache which long prompt parts, as far as this node knows.
*/
export type PromptMap = {
	/**
	Applies a change; returns whether it changed the map.
	*/
	apply(change: PromptChange): boolean;
	holds(server: string, part: string): boolean;
	/**
	The backend servers that cache a part.
	*/
	holders(part: string): readonly string[];
	servers(): readonly string[];
	/**
	The full map, as changes to an empty map.
	*/
	changes(): readonly PromptChange[];
	clear(): void;
};

/**
Maximum number of parts remembered per backend server; the oldest is evicted first. It is several times the number of
long parts that the memory of an engine holds.
*/
export const maximumPartsPerServer = 400;

/**
Creates an empty map.
*/
export const createPromptMap = (): PromptMap => {
	const byServer = new Map<string, Map<string, number>>();
	const byPart = new Map<string, Set<string>>();

	const didRemove = (server: string, part: string): boolean => {
		const holders = byPart.get(part);
		holders?.delete(server);
		if (holders?.size === 0) {
			byPart.delete(part);
		}

		return byServer.get(server)?.delete(part) ?? false;
	};

	const didRemoveServer = (server: string): boolean => {
		for (const part of byServer.get(server)?.keys() ?? []) {
			didRemove(server, part);
		}

		return byServer.delete(server);
	};

	const didAdd = (server: string, part: string, tokens: number): boolean => {
		const parts = byServer.get(server) ?? new Map<string, number>();
		byServer.set(server, parts);
		const isNew = parts.get(part) !== tokens;
		// Deletes and sets the key, so that the first key is the least recently updated one.
		parts.delete(part);
		parts.set(part, tokens);
		const holders = byPart.get(part) ?? new Set<string>();
		byPart.set(part, holders.add(server));
		if (parts.size > maximumPartsPerServer) {
			const [oldest = ''] = parts.keys();
			didRemove(server, oldest);
		}

		return isNew;
	};

	return {
		apply([server, part, tokens]) {
			if (part === '') {
				return didRemoveServer(server);
			}

			return tokens > 0
				? didAdd(server, part, tokens)
				: didRemove(server, part);
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
