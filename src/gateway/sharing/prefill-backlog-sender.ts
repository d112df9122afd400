import type {PrefillBacklogSender} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Mesh} from '../../mesh/index.ts';

/**
Options of `createPrefillBacklogSender`.
*/
export type PrefillBacklogSenderOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usableIn' | 'send'>;
	readonly localRegion: string;
	readonly without: DisabledMechanisms;
};

/**
Creates a function that sends the prefill backlog of a server, caused by long prompts of this node, to the nodes of the
region at once.

An engine delays all later requests while it processes a long prompt, and its stated load does not show that. If only the
node that sent the prompt knew of it, the others would send the engine their short requests.
*/
export const createPrefillBacklogSender = ({
	mesh,
	localRegion,
	without,
}: PrefillBacklogSenderOptions): PrefillBacklogSender => {
	let sequence = 0;

	return (server, tokens) => {
		if (without.has('told-reading')) {
			return;
		}

		sequence += 1;
		const {id, incarnation} = mesh.self();
		mesh.send(mesh.usableIn(localRegion), {
			kind: 'reading',
			from: `${id} ${incarnation}`,
			server,
			tokens,
			sequence,
		});
	};
};
