import type {Buffer} from 'node:buffer';
import type {Member} from '../membership/index.ts';
import type {Address} from '../shared/index.ts';
import type {PeerMessage, PeerMessageCodec} from './peer-message-codec.ts';

/**
Sends a message to other nodes. Delivery is best effort: lost datagrams are not sent again.
*/
export type PeerMessageSender = (
	members: readonly Member[],
	message: PeerMessage,
) => void;

/**
Creates a message sender.

@param codec Encodes each message once for all recipients.
@param send Sends one datagram.
*/
export const createPeerMessageSender =
	(
		codec: Pick<PeerMessageCodec, 'encode'>,
		send: (to: Address, datagram: Buffer) => void,
	): PeerMessageSender =>
	(members, message) => {
		if (members.length === 0) {
			return;
		}

		for (const datagram of codec.encode(message)) {
			for (const {peerAddress} of members) {
				send(peerAddress, datagram);
			}
		}
	};
