import {
	peerConnectTimeoutMs,
	type OpenCall,
	type UpstreamClient,
} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {peerPaths} from '../../mesh/index.ts';
import type {Random} from '../../shared/index.ts';
import {
	maximumConnectionsPerPeer,
	peerConnectionKey,
} from './peer-connections.ts';

/**
Keeps some connections open to other regions, so that no request waits for one to be opened.
*/
export type ConnectionWarmer = {tick(now: number): void};

/**
What connections are opened with.
*/
export type ConnectionWarmerOptions = {
	readonly client: Pick<UpstreamClient, 'call' | 'hasIdleConnection'>;
	readonly otherRegions: readonly string[];
	/**
	Nodes of a region that can be given work.
	*/
	readonly membersIn: (region: string) => readonly Member[];
	readonly random: Random;
};

/**
Nodes of each other region to which a connection is to rest: one for a request, and one for its second try.
*/
export const idleConnectionsPerRegion = 2;

/**
How often it looks for connections that are missing, in milliseconds. One is opened for each region at
a time.
*/
export const warmIntervalMs = 500;

/**
How long a call that opens a connection may take, in milliseconds: some round trips between regions.
*/
export const warmTimeoutMs = 1000;

/**
Builds a warmer that has opened nothing yet.
*/
export const createConnectionWarmer = (
	options: ConnectionWarmerOptions,
): ConnectionWarmer => {
	const {client, membersIn, random} = options;
	const opening = new Map<string, {call: OpenCall; since: number}>();
	let lookedAt = -Infinity;

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
		opening.set(region, {call, since: now});
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

	// A node that does not answer must not keep its region from being warmed.
	const giveUpLate = (now: number) => {
		for (const [region, {call, since}] of opening) {
			if (now - since < warmTimeoutMs) {
				continue;
			}

			call.abort();
			opening.delete(region);
		}
	};

	return {
		tick(now) {
			if (now - lookedAt < warmIntervalMs) {
				return;
			}

			lookedAt = now;
			giveUpLate(now);
			for (const region of options.otherRegions) {
				if (opening.has(region)) {
					continue;
				}

				warm(region, now);
			}
		},
	};
};
