import {unpack} from 'msgpackr';
import {Agent, request} from 'undici';
import type {Member} from '../membership/index.ts';
import type {RegistryAnswer} from '../registry/index.ts';
import type {Address} from '../shared/index.ts';
import {peerPaths} from './peer-listener.ts';

/**
Questions to other nodes.
*/
export type PeerQuestions = {
	/**
	The members that a node knows, or undefined where it does not answer.
	*/
	members(peer: Address): Promise<readonly Member[] | undefined>;
	registryAfter(peer: Address, revision: number): Promise<RegistryAnswer>;
	close(): Promise<void>;
};

/**
How long another node may take to answer, in milliseconds: some round trips between regions.
*/
export const questionTimeoutMs = 700;

/**
Builds the questions of one node.
*/
export const createPeerQuestions = (): PeerQuestions => {
	const dispatcher = new Agent({
		connect: {timeout: questionTimeoutMs},
		connections: 2,
	});

	const ask = async (peer: Address, path: string): Promise<unknown> => {
		const {statusCode, body} = await request(`http://${peer}${path}`, {
			dispatcher,
			signal: AbortSignal.timeout(questionTimeoutMs),
		});
		const bytes = await body.bytes();
		if (statusCode !== 200) {
			throw new Error(`the node answered ${statusCode}`);
		}

		return unpack(bytes);
	};

	return {
		async members(peer) {
			try {
				return (await ask(peer, peerPaths.members)) as readonly Member[];
			} catch {
				return undefined;
			}
		},
		async registryAfter(peer, revision) {
			try {
				return (await ask(
					peer,
					`${peerPaths.registry}?after=${revision}`,
				)) as RegistryAnswer;
			} catch (error) {
				return {kind: 'unavailable', reason: (error as Error).message};
			}
		},
		close: async () => dispatcher.destroy(),
	};
};
