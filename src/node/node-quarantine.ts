import type {Buffer} from 'node:buffer';
import type {EngineLife} from '../engines/index.ts';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import {createPeerTeller} from '../peers/peer-teller.ts';
import {createQuarantine, type Quarantine} from '../quarantine/index.ts';
import {engineLife} from '../requests/index.ts';
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
		const canAsk = context.fleet.restLeftMs(id, clock()) === 0;
		const now =
			server && canAsk ? await engines.readLife(server.address) : undefined;
		const verdict = now ? judgeLife(id, life, now) : 'unknown';
		switch (verdict) {
			case 'ended': {
				quarantine.refused(life, clock());
				break;
			}

			case 'same': {
				quarantine.acquitted(life);
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
		tell: createPeerTeller(createPeerMessageCodec(sealer), send),
		ask(server, life) {
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
	now: EngineLife,
): 'same' | 'ended' | 'unknown' => {
	switch (now.kind) {
		case 'running': {
			const isSame =
				life === engineLife(id, now.incarnation) || life === engineLife(id);
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
