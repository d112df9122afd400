// HTTP calls to the processes of a deployment: control of simulated services and administration of nodes.
import {request} from 'undici';
import type {Address} from '../src/shared/index.ts';
import {eventually} from './eventually.ts';
import {administrationKey} from './node-plans.ts';

/**
Calls the control API of a simulated service.
*/
export const control = async (
	address: Address,
	path: string,
	body: unknown = {},
): Promise<unknown> =>
	JSON.parse(
		await call(
			`http://${address}/control/${path}`,
			'POST',
			typeof body === 'string' ? body : JSON.stringify(body),
		),
	);

/**
Calls the administration API of a node.
*/
export const callAdministration = async (
	address: Address,
	path: string,
): Promise<unknown> =>
	JSON.parse(
		await call(`http://${address}/${path}`, 'GET', undefined, {
			authorization: `Bearer ${administrationKey}`,
		}),
	);

/**
Repeats a GET request until there is an answer or the time-out ends.
*/
export const awaitAnswer = async (
	url: string,
	timeoutMs: number,
): Promise<string> => eventually(async () => call(url, 'GET'), timeoutMs);

const call = async (
	url: string,
	method: 'GET' | 'POST',
	body?: string,
	headers: Readonly<Record<string, string>> = {},
): Promise<string> => {
	const answer = await request(url, {
		method,
		body,
		headers,
		signal: AbortSignal.timeout(5000),
	});
	return answer.body.text();
};
