import type {PrefillBacklogSender} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Mesh} from '../../mesh/index.ts';

/**
What a teller is built from.
*/
export type PrefillBacklogSenderOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usableIn' | 'send'>;
	readonly localRegion: string;
	readonly without: DisabledMechanisms;
};

/**
Builds what tells the nodes of the region at once what a server has still to read of this node's long prompts.

An engine that reads a long prompt makes all that comes after it wait, and states nothing of it: where only the node that
sent the prompt knew, the others would send it their short requests.
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
