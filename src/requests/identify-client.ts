import {Result} from 'true-myth';
import type {Client, Configuration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import {isEqualInConstantTime, sha256} from '../shared/index.ts';
import {headerOf, type IncomingRequest} from './incoming-request.ts';

const bearer = /^bearer (?<key>\S+)$/iv;

/**
Finds the client account that a request's bearer key belongs to.
*/
export const identifyClient = (
	request: IncomingRequest,
	configuration: Configuration,
): Result<Client, GatewayError> => {
	const key = bearer.exec(headerOf(request, 'authorization') ?? '')?.groups
		?.key;
	if (key === undefined) {
		return Result.err(
			createGatewayError(
				'unauthenticated',
				'Send a client key: "Authorization: Bearer KEY"',
			),
		);
	}

	const client = findByKey(configuration.clients, key);
	return client
		? Result.ok(client)
		: Result.err(
				createGatewayError('unauthenticated', 'The client key is not known'),
			);
};

// Compares the key with every account, so that the response time does not reveal which account matches.
const findByKey = (
	clients: readonly Client[],
	key: string,
): Client | undefined => {
	const digest = sha256(key);
	let found: Client | undefined;
	for (const client of clients) {
		if (isEqualInConstantTime(client.keySha256, digest)) {
			found = client;
		}
	}

	return found;
};
