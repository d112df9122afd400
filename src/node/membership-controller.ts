import type {Buffer} from 'node:buffer';
import type {Controller} from '../controllers/index.ts';
import type {DatedValue} from '../digests/index.ts';
import type {
	Member,
	MembershipAction,
	MembershipEvent,
} from '../membership/index.ts';
import type {HeartbeatCodec} from '../peers/index.ts';
import {
	openHeartbeatSocket,
	type HeartbeatSocket,
	type SocketCounts,
} from '../peers/heartbeat-socket.ts';
import type {Address} from '../shared/index.ts';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {NodeContext} from './node-context.ts';

/**
The parts of a node context that the membership controller uses.
*/
export type HeartbeatContext = Pick<
	NodeContext,
	'membership' | 'digests' | 'clock' | 'logger'
> & {
	readonly settings: Pick<NodeContext['settings'], 'peerAddress'>;
	readonly configuration: Pick<NodeContext['configuration'], 'stamp'>;
};

/**
Exchanges heartbeats with piggybacked soft state.
*/
export type MembershipController = Controller & {
	/**
	Passes an event to the membership protocol and performs the resulting actions.
	*/
	handle(event: MembershipEvent): void;
	/**
	Sends a datagram of another kind over the same socket.
	*/
	send(to: Address, datagram: Buffer): void;
	counts(): SocketCounts | undefined;
};

/**
Callbacks of the controller.
*/
export type MembershipListeners = {
	readonly onDigests: (values: readonly DatedValue[]) => void;
	readonly onStamp: (stamp: ConfigurationStamp, from: Address) => void;
	readonly onChanged: (member: Member) => void;
	/**
	Called with each datagram that is not a heartbeat.
	*/
	readonly onOtherDatagram?: (datagram: Buffer) => void;
	/**
	Whether datagrams are handled yet; others are dropped. A node that replies counts as able to serve.
	*/
	readonly hasJoined?: () => boolean;
};

/**
Maximum size of the soft state in one heartbeat, in bytes; keeps a datagram below the usual size of a packet.
*/
export const digestBudgetBytes = 700;

/**
Creates the controller.
*/
export const createMembershipController = (
	context: HeartbeatContext,
	codec: HeartbeatCodec,
	translate: (address: Address) => Address,
	listeners: MembershipListeners,
): MembershipController => {
	const {membership, digests, clock, logger} = context;
	let socket: HeartbeatSocket | undefined;

	const perform = (action: MembershipAction) => {
		switch (action.kind) {
			case 'send': {
				const {to, message} = action;
				const selected = digests.select(
					to.availabilityZone,
					digestBudgetBytes,
					membership.members().length,
					clock(),
				);
				const stamp = context.configuration.stamp();
				socket?.send(
					translate(to.peerAddress),
					codec.encode({message, stamp, digests: selected}),
				);
				return;
			}

			case 'changed': {
				const {id, status} = action.member;
				logger.info({member: id, status}, 'member changed');
				listeners.onChanged(action.member);
			}
		}
	};

	const handle = (event: MembershipEvent) => {
		for (const action of membership.handle(event, clock())) {
			perform(action);
		}
	};

	const receive = (datagram: Buffer) => {
		if (listeners.hasJoined?.() === false) {
			return;
		}

		const heartbeat = codec.decode(datagram);
		if (!heartbeat) {
			listeners.onOtherDatagram?.(datagram);
			logger.debug(
				{bytes: datagram.length},
				'received datagram is not a heartbeat',
			);
			return;
		}

		// Soft state is applied first so that the reply that `handle` sends can already propagate it.
		listeners.onDigests(digests.apply(heartbeat.digests, clock()));
		listeners.onStamp(heartbeat.stamp, heartbeat.message.from.peerAddress);
		handle({kind: 'message', message: heartbeat.message});
	};

	return {
		name: 'membership',
		handle,
		send(to, datagram) {
			socket?.send(translate(to), datagram);
		},
		counts: () => socket?.counts(),
		async start() {
			socket = await openHeartbeatSocket(context.settings.peerAddress, receive);
		},
		tick() {
			handle({kind: 'tick'});
		},
		async stop() {
			const open = socket;
			// A closed socket throws on sending.
			socket = undefined;
			await open?.close();
		},
	};
};
