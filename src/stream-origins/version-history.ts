/**
The software versions of each service that this node has seen in the registry.
*/
export type VersionHistory = {
	/**
	Must be called with all servers whenever the copy of the registry has changed.
	*/
	update(servers: Iterable<VersionedServer>, now: number): void;
	/**
	Must be called while the copy of the registry is confirmed, so that the time is known for which this node has followed the
	registry.
	*/
	follow(now: number): void;
	/**
	Must be called when the copy of the registry is not confirmed any more.
	*/
	interrupt(): void;
	/**
	Returns the versions of a service that were registered at any time in the last `spanMs` milliseconds; undefined if this node has
	not followed the registry without interruption for so long.
	*/
	versionsWithin(
		service: string,
		spanMs: number,
		now: number,
	): ReadonlySet<string> | undefined;
	/**
	Returns the versions of a service that were known to be registered in the last `spanMs` milliseconds, to this node or to one whose
	history it has taken over, although the registry may have been out of reach at times; undefined if the nodes' memory does not reach
	that far back.
	*/
	knownWithin(
		service: string,
		spanMs: number,
		now: number,
	): ReadonlySet<string> | undefined;
	/**
	Whether the history reaches back for `spanMs` milliseconds.
	*/
	reachesBack(spanMs: number, now: number): boolean;
	/**
	Returns this history for another node; undefined while it is empty.
	*/
	statement(now: number): VersionStatement | undefined;
	/**
	Takes over the history of another node.

	@param askedAt When the other node was asked. Its history and this one must overlap, so nothing is taken over if this one began later.
	*/
	takeOver(statement: VersionStatement, askedAt: number, now: number): void;
};

/**
The history of one node, as stated to another one. Times are relative, because nodes have different clocks.
*/
export type VersionStatement = {
	/**
	Time for which the node has known the registry, in milliseconds.
	*/
	readonly knownMs: number;
	/**
	Time for which it has followed the registry without interruption, in milliseconds.
	*/
	readonly followedMs: number | undefined;
	readonly versions: ReadonlyArray<
		VersionedServer & {
			/**
			Time since the last server of the version was removed, in milliseconds; 0 while there is one.
			*/
			readonly removedMs: number;
		}
	>;
};

/**
A backend server with the version of its software.
*/
export type VersionedServer = {
	readonly service: string;
	readonly softwareVersion: string;
};

// Versions that have no server any more are forgotten after this time, in milliseconds.
const retentionMs = 600_000;

/**
Creates an empty history.
*/
export const createVersionHistory = (): VersionHistory => {
	// By service and version: when the last server was removed, or infinite while there is one.
	const lastSeenAt = new Map<string, Map<string, number>>();
	let knownSince: number | undefined;
	let followedSince: number | undefined;

	const markRemoved = (now: number) => {
		for (const [service, versions] of lastSeenAt) {
			for (const [version, at] of versions) {
				if (at === Infinity) {
					versions.set(version, now);
				} else if (now - at > retentionMs) {
					versions.delete(version);
				}
			}

			if (versions.size === 0) {
				lastSeenAt.delete(service);
			}
		}
	};

	const hasLasted = (
		since: number | undefined,
		spanMs: number,
		now: number,
	): boolean => since !== undefined && now - since >= spanMs;

	const lastSeenWithin = (
		service: string,
		spanMs: number,
		now: number,
	): ReadonlySet<string> =>
		new Set(
			(lastSeenAt.get(service) ?? new Map<string, number>())
				.entries()
				.filter(([, at]) => now - at <= spanMs)
				.map(([version]) => version),
		);

	return {
		update(servers, now) {
			knownSince ??= now;
			markRemoved(now);
			for (const {service, softwareVersion} of servers) {
				const versions = lastSeenAt.get(service) ?? new Map<string, number>();
				lastSeenAt.set(service, versions);
				versions.set(softwareVersion, Infinity);
			}
		},
		follow(now) {
			followedSince ??= now;
		},
		interrupt() {
			followedSince = undefined;
		},
		versionsWithin: (service, spanMs, now) =>
			hasLasted(followedSince, spanMs, now)
				? lastSeenWithin(service, spanMs, now)
				: undefined,
		knownWithin: (service, spanMs, now) =>
			hasLasted(knownSince, spanMs, now)
				? lastSeenWithin(service, spanMs, now)
				: undefined,
		reachesBack: (spanMs, now) => hasLasted(knownSince, spanMs, now),
		statement: (now) =>
			knownSince === undefined
				? undefined
				: {
						knownMs: now - knownSince,
						followedMs:
							followedSince === undefined ? undefined : now - followedSince,
						versions: [...lastSeenAt].flatMap(([service, versions]) =>
							[...versions].map(([softwareVersion, at]) => ({
								service,
								softwareVersion,
								removedMs: Math.max(0, now - at),
							})),
						),
					},
		takeOver({knownMs, followedMs, versions}, askedAt, now) {
			if (knownSince === undefined || knownSince > askedAt) {
				return;
			}

			knownSince = Math.min(knownSince, now - knownMs);
			if (
				followedMs !== undefined &&
				followedSince !== undefined &&
				followedSince <= askedAt
			) {
				followedSince = Math.min(followedSince, now - followedMs);
			}

			for (const {service, softwareVersion, removedMs} of versions) {
				const known = lastSeenAt.get(service) ?? new Map<string, number>();
				lastSeenAt.set(service, known);
				known.set(
					softwareVersion,
					Math.max(known.get(softwareVersion) ?? -Infinity, now - removedMs),
				);
			}
		},
	};
};
