import type {ReadingTeller} from '../../backends/index.ts';
import type {Without} from '../../mechanisms/index.ts';
import type {Mesh} from '../../mesh/index.ts';

/**
What a teller is built from.
*/
export type ReadingTellerOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usableIn' | 'tell'>;
	readonly ownRegion: string;
	readonly without: Without;
};

/**
Builds what tells the nodes of the region at once what a server has still to read of this node's long prompts.

An engine that reads a long prompt makes all that comes after it wait, and states nothing of it: where only the node that
sent the prompt knew, the others would send it their short requests.
*/
export const createReadingTeller = ({
	mesh,
	ownRegion,
	without,
}: ReadingTellerOptions): ReadingTeller => {
	let sequence = 0;

	return (server, tokens) => {
		if (without.has('told-reading')) {
			return;
		}

		sequence += 1;
		const {id, incarnation} = mesh.self();
		mesh.tell(mesh.usableIn(ownRegion), {
			kind: 'reading',
			from: `${id} ${incarnation}`,
			server,
			tokens,
			sequence,
		});
	};
};
