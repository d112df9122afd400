import {request} from 'undici';
import {Result} from 'true-myth';

/**
Where the administration API of a node is, and its key.
*/
export type AdministrationTarget = {
	readonly address: string;
	readonly key: string;
};

const timeoutMs = 10_000;

/**
Calls the administration API; the fault is a text for the operator.
*/
export const callAdministration = async <Body>(
	target: AdministrationTarget,
	path: string,
	method: 'GET' | 'POST' = 'GET',
): Promise<Result<Body, string>> => {
	try {
		const answer = await request(`http://${target.address}${path}`, {
			method,
			headers: {authorization: `Bearer ${target.key}`},
			signal: AbortSignal.timeout(timeoutMs),
		});
		const body: unknown = await answer.body.json();
		return answer.statusCode < 300
			? Result.ok(body as Body)
			: Result.err(
					`The node answered with status ${answer.statusCode}: ${JSON.stringify(body)}`,
				);
	} catch (error) {
		return Result.err(
			`The node at ${target.address} cannot be reached: ${(error as Error).message}`,
		);
	}
};
