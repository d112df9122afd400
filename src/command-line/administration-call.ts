import {request} from 'undici';
import {Result} from 'true-myth';

/**
Address of the administration API of a node, and the key that authorizes the call.
*/
export type AdministrationTarget = {
	readonly address: string;
	readonly key: string;
};

const callTimeoutMs = 10_000;

/**
Calls the administration API. A failed call returns an error message for the operator.
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
			signal: AbortSignal.timeout(callTimeoutMs),
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
