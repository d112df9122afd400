import type {BackendServer} from '../configuration/index.ts';
import type {BackendServerCandidate} from './candidates.ts';

/**
 The servers that a strategy chooses from.
 
 A server is evaluated only when a strategy examines it, so comparing two of seven hundred
 servers costs no more than comparing two of ten.
 */
export type CandidatePool = {
	readonly servers: readonly BackendServer[];

	/**
	Returns the candidate for a server, or undefined if no request may be sent to it now.
	*/
	candidateFor(server: BackendServer): BackendServerCandidate | undefined;

	/**
	Load of all servers as a fraction of their slots.
	*/
	readonly meanUtilization: number;

	/**
	Median of the servers' expected time to the first token, in milliseconds.
	*/
	readonly typicalFirstTokenMs: number;
};

/**
Evaluates all servers of a pool and returns the candidates.
*/
export const allCandidates = ({
	servers,
	candidateFor,
}: CandidatePool): readonly BackendServerCandidate[] =>
	servers.flatMap((server) => candidateFor(server) ?? []);
