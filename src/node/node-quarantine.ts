import type {Buffer} from 'node:buffer';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import {createQuarantine, type Quarantine} from '../quarantine/index.ts';
import type {Address} from '../shared/index.ts';
import type {NodeCore} from './node-core.ts';

/**
Builds the quarantine of a node, which tells other nodes by what sends a datagram.
*/
export const createNodeQuarantine = (
	{context, engines, random, sealer}: NodeCore,
	send: (to: Address, datagram: Buffer) => void,
): Quarantine => {
	const {clock, configuration, fleet, logger, membership, settings} = context;
	const codec = createPeerMessageCodec(sealer);

	const ask = async (id: string) => {
		const servers = configuration.current()?.configuration.backendServers;
		const server = servers?.find((each) => each.id === id);
		const life = `${id} ${fleet.incarnationOf(id) ?? ''}`;
		const isListening = server && (await engines.isListening(server.address));
		if (isListening === undefined) {
			return;
		}

		if (isListening) {
			quarantine.acquitted(life);
		} else {
			quarantine.refused(life, clock());
		}
	};

	const quarantine = createQuarantine({
		self: settings.nodeId,
		usable: membership.usable,
		tell(members, message) {
			for (const datagram of codec.encode(message)) {
				for (const {peerAddress} of members) {
					send(peerAddress, datagram);
				}
			}
		},
		ask(server) {
			void ask(server);
		},
		// Its runs end by themselves; none is sent again.
		onQuarantined: () => undefined,
		random,
		without: new Set(),
		clock,
		logger,
	});
	return quarantine;
};
