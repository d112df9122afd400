import type {Buffer} from 'node:buffer';
import type {EngineProcessState} from '../engines/index.ts';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import {createPeerMessageSender} from '../peers/peer-message-sender.ts';
import {createQuarantine, type Quarantine} from '../quarantine/index.ts';
import {engineIncarnationId} from '../requests/index.ts';
import type {Address} from '../shared/index.ts';
import type {NodeCore} from './node-core.ts';

/**
Creates the quarantine of a node, which is shared with other nodes; `send` sends one datagram.
*/
export const createNodeQuarantine = (
	{context, engines, random, sealer}: NodeCore,
	send: (to: Address, datagram: Buffer) => void,
): Quarantine => {
	const {clock, configuration, logger, membership, settings} = context;

	const probeEngine = async (id: string, incarnationId: string) => {
		const servers = configuration.current()?.configuration.backendServers;
		const server = servers?.find((each) => each.id === id);
		// An engine that requested a backoff has shown by its refusal that it is running.
		const canProbe = context.fleet.backoffRemainingMs(id, clock()) === 0;
		const processState =
			server && canProbe
				? await engines.readProcessState(server.address)
				: undefined;
		const comparison = processState
			? compareIncarnations(id, incarnationId, processState)
			: 'unknown';
		switch (comparison) {
			case 'ended': {
				quarantine.connectionRefused(incarnationId, clock());
				break;
			}

			case 'same': {
				quarantine.crashRuledOut(incarnationId);
				break;
			}

			case 'unknown': {
				break;
			}
		}
	};

	const quarantine = createQuarantine({
		self: settings.nodeId,
		usable: membership.usable,
		send: createPeerMessageSender(createPeerMessageCodec(sealer), send),
		probe(server, incarnationId) {
			void probeEngine(server, incarnationId);
		},
		// Runs of a quarantined request are not canceled: they end on their own and are not retried.
		onQuarantined: () => undefined,
		random,
		without: new Set(),
		clock,
		logger,
	});
	return quarantine;
};

// An engine that restarted reports a different incarnation. If the earlier incarnation is not known, a running engine proves
// no crash.
const compareIncarnations = (
	id: string,
	incarnationId: string,
	processState: EngineProcessState,
): 'same' | 'ended' | 'unknown' => {
	switch (processState.kind) {
		case 'running': {
			const isSame =
				incarnationId === engineIncarnationId(id, processState.incarnation) ||
				incarnationId === engineIncarnationId(id);
			return isSame ? 'same' : 'ended';
		}

		case 'gone': {
			return 'ended';
		}

		case 'silent': {
			return 'unknown';
		}
	}
};
