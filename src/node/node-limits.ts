import type {Buffer} from 'node:buffer';
import {
	createBackendLimits,
	createSenderNodes,
	type BackendLimits,
} from '../backend-limits/index.ts';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import {createPeerMessageSender} from '../peers/peer-message-sender.ts';
import type {Address} from '../shared/index.ts';
import type {NodeCore} from './node-core.ts';

/**
Time after its start during which a node sends no requests to rate-limited engines, in milliseconds. It spans several
heartbeats, by which the node discovers the other nodes that share the limits.
*/
export const limitStartupDelayMs = 2500;

/**
Creates the backend limits of a node. Limits are shared with the nodes of the same zone only, because only these nodes send
requests to the engines of the zone; `send` sends one datagram.
*/
export const createNodeLimits = (
	{context, sealer}: NodeCore,
	send: (to: Address, datagram: Buffer) => void,
): BackendLimits => {
	const {clock, logger, membership, settings} = context;
	const startedAt = clock();
	const {peers, reachableFraction} = createSenderNodes({
		others: membership.members,
		sharesServers: ({availabilityZone}) =>
			availabilityZone === settings.availabilityZone,
		lastReceivedAt: membership.lastReceivedAt,
		clock,
	});

	return createBackendLimits({
		self: settings.nodeId,
		peers,
		reachableFraction,
		canUseLimitedServers: () =>
			clock() - startedAt > limitStartupDelayMs &&
			membership.self().status !== 'leaving',
		send: createPeerMessageSender(createPeerMessageCodec(sealer), send),
		without: new Set(),
		logger,
	});
};
