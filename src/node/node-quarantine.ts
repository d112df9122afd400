import type {Buffer} from 'node:buffer';
import type {EngineProcessState} from '../engines/index.ts';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import {createPeerMessageSender} from '../peers/peer-message-sender.ts';
import {createQuarantine, type Quarantine} from '../quarantine/index.ts';
import {engineIncarnationId} from '../requests/index.ts';
import type {Address} from '../shared/index.ts';
import type {NodeCore} from './node-core.ts';

/**
Builds the quarantine of a node, which tells other nodes by what sends a datagram.
*/
export const createNodeQuarantine = (
	{context, engines, random, sealer}: NodeCore,
	send: (to: Address, datagram: Buffer) => void,
): Quarantine => {
	const {clock, configuration, logger, membership, settings} = context;

	const ask = async (id: string, life: string) => {
		const servers = configuration.current()?.configuration.backendServers;
		const server = servers?.find((each) => each.id === id);
		// The refusal that asked for a rest has shown that the engine lives.
		const canAsk = context.fleet.backoffRemainingMs(id, clock()) === 0;
		const now =
			server && canAsk
				? await engines.readProcessState(server.address)
				: undefined;
		const verdict = now ? judgeLife(id, life, now) : 'unknown';
		switch (verdict) {
			case 'ended': {
				quarantine.connectionRefused(life, clock());
				break;
			}

			case 'same': {
				quarantine.crashRuledOut(life);
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
		probe(server, life) {
			void ask(server, life);
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

// One that was back at once has another name. Of one whose name was not heard before nothing is proved.
const judgeLife = (
	id: string,
	life: string,
	now: EngineProcessState,
): 'same' | 'ended' | 'unknown' => {
	switch (now.kind) {
		case 'running': {
			const isSame =
				life === engineIncarnationId(id, now.incarnation) ||
				life === engineIncarnationId(id);
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
