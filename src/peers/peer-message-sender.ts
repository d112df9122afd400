import type {Buffer} from 'node:buffer';
import type {Member} from '../membership/index.ts';
import type {Address} from '../shared/index.ts';
import type {PeerMessage, PeerMessageCodec} from './peer-message-codec.ts';

/**
Tells nodes something; what is lost on the way is not sent again.
*/
export type PeerMessageSender = (
	members: readonly Member[],
	message: PeerMessage,
) => void;

/**
Builds a teller.

@param codec What messages are encoded with, once for all nodes that are told.
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
