// Calls to the processes of a deployment: what they are told, and what they tell of themselves.
import {request} from 'undici';
import type {Address} from '../src/shared/index.ts';
import {eventually} from './eventually.ts';
import {administrationKey} from './node-plans.ts';

/**
Tells a stand-in what to do from now on.
*/
export const control = async (
	address: Address,
	where: string,
	body: unknown = {},
): Promise<unknown> =>
	JSON.parse(
		await call(
			`http://${address}/control/${where}`,
			'POST',
			typeof body === 'string' ? body : JSON.stringify(body),
		),
	);

/**
Asks the administration API of a node.
*/
export const askAdministration = async (
	address: Address,
	where: string,
): Promise<unknown> =>
	JSON.parse(
		await call(`http://${address}/${where}`, 'GET', undefined, {
			authorization: `Bearer ${administrationKey}`,
		}),
	);

/**
Asks until there is an answer.
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
