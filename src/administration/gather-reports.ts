import type {GatewayNode} from '../node/index.ts';
import type {NodeReport} from '../reporting/index.ts';

/**
Reports of the nodes that responded and ids of the nodes that did not.
*/
export type GatheredReports = {
	readonly reports: readonly NodeReport[];
	readonly unanswered: readonly string[];
};

/**
Requests the report of every known node.
*/
export const gatherReports = async (
	node: GatewayNode,
): Promise<GatheredReports> => {
	const members = node.membership.members();
	const answers = await Promise.all(
		members.map(async ({id, peerAddress}) => ({
			id,
			answer: await node.peers.readReport(peerAddress),
		})),
	);
	return {
		reports: [
			node.report(),
			...answers.flatMap(({answer}) => (answer.isOk ? [answer.value] : [])),
		],
		unanswered: answers.filter(({answer}) => answer.isErr).map(({id}) => id),
	};
};
