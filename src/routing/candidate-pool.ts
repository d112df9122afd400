import type {BackendServer} from '../configuration/index.ts';
import type {BackendServerCandidate} from './candidates.ts';

/**
 The servers that a choice is made among.
 
 Servers are judged only when they are looked at: a strategy that compares two of
 seven hundred costs no more than one that compares two of ten.
 */
export type CandidatePool = {
	readonly servers: readonly BackendServer[];

	/**
	The candidate for a server, or undefined where it may not be given work now.
	*/
	candidateFor(server: BackendServer): BackendServerCandidate | undefined;

	/**
	Load of all servers as a share of their slots.
	*/
	readonly meanUtilization: number;

	/**
	Median of the servers' expected times to the first token, in milliseconds.
	*/
	readonly typicalFirstTokenMs: number;
};

/**
All candidates of a pool.
*/
export const allCandidates = ({
	servers,
	candidateFor,
}: CandidatePool): readonly BackendServerCandidate[] =>
	servers.flatMap((server) => candidateFor(server) ?? []);
