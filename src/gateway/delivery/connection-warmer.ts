import {
	peerConnectTimeoutMs,
	type OpenCall,
	type UpstreamClient,
} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {maximumForwardedHeadBytes, peerPaths} from '../../mesh/index.ts';
import type {Random} from '../../shared/index.ts';
import {
	maximumConnectionsPerPeer,
	peerConnectionKey,
} from './peer-connections.ts';

/**
Keeps idle connections to other regions open, so that requests need not wait for a connection to be established.
*/
export type ConnectionWarmer = {tick(now: number): void};

/**
Options of `createConnectionWarmer`.
*/
export type ConnectionWarmerOptions = {
	readonly client: Pick<UpstreamClient, 'call' | 'hasIdleConnection'>;
	readonly otherRegions: readonly string[];
	/**
	Returns the nodes of a region that accept requests.
	*/
	readonly membersIn: (region: string) => readonly Member[];
	readonly random: Random;
};

/**
Number of nodes in each other region to which an idle connection is kept: one for a request and one for its retry.
*/
export const idleConnectionsPerRegion = 2;

/**
Interval of the checks for missing connections, in milliseconds. Connections to a region are opened one at a time.
*/
export const warmIntervalMs = 500;

/**
Timeout of a call that opens a connection, in milliseconds. It covers several round trips between regions.
*/
export const warmTimeoutMs = 1000;

/**
Creates a warmer, which opens connections on its ticks.
*/
export const createConnectionWarmer = (
	options: ConnectionWarmerOptions,
): ConnectionWarmer => {
	const {client, membersIn, random} = options;
	const opening = new Map<string, {call: OpenCall; startedAt: number}>();
	let checkedAt = -Infinity;

	const open = (region: string, member: Member, now: number) => {
		const finish = () => {
			opening.delete(region);
		};

		const call = client.call(
			{
				key: peerConnectionKey(member),
				address: member.peerAddress,
				maximumConnections: maximumConnectionsPerPeer,
				connectTimeoutMs: peerConnectTimeoutMs,
				maximumHeadBytes: maximumForwardedHeadBytes,
				method: 'GET',
				target: peerPaths.rest,
				headers: ['host', member.peerAddress],
				body: undefined,
			},
			{
				onHead: () => undefined,
				onData: () => true,
				onEnd: finish,
				onFailure: finish,
			},
		);
		opening.set(region, {call, startedAt: now});
	};

	const warm = (region: string, now: number) => {
		const members = membersIn(region);
		const missing = members.filter(
			(member) => !client.hasIdleConnection(peerConnectionKey(member)),
		);
		const isWarm = members.length - missing.length >= idleConnectionsPerRegion;
		if (!isWarm && missing.length > 0) {
			open(region, missing[random.below(missing.length)]!, now);
		}
	};

	// A node that does not respond must not block further connections to its region.
	const abortTimedOut = (now: number) => {
		for (const [region, {call, startedAt}] of opening) {
			if (now - startedAt < warmTimeoutMs) {
				continue;
			}

			call.abort();
			opening.delete(region);
		}
	};

	return {
		tick(now) {
			if (now - checkedAt < warmIntervalMs) {
				return;
			}

			checkedAt = now;
			abortTimedOut(now);
			for (const region of options.otherRegions) {
				if (opening.has(region)) {
					continue;
				}

				warm(region, now);
			}
		},
	};
};
