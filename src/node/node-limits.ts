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
How long a node leaves limited engines to others after its start, in milliseconds: some heartbeats, by which it has heard of
the others.
*/
export const limitSettlingMs = 2500;

/**
Builds the limits of a node, which tells the other nodes of its zone by what sends a datagram: the engines of a zone are
sent requests by its nodes only.
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
			clock() - startedAt > limitSettlingMs &&
			membership.self().status !== 'leaving',
		send: createPeerMessageSender(createPeerMessageCodec(sealer), send),
		without: new Set(),
		logger,
	});
};
