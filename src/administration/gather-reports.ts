import type {GatewayNode} from '../node/index.ts';
import type {NodeReport} from '../reporting/index.ts';

/**
The reports of all nodes that answered, and the names of those that did not.
*/
export type GatheredReports = {
	readonly reports: readonly NodeReport[];
	readonly unanswered: readonly string[];
};

/**
Asks every known node for its report.
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
