import {Agent, Pool} from 'undici';
import {createHttpConnector} from './http-connector.ts';
import {createMeteredClient} from './metered-client.ts';

/**
Options of `createHttpAgent`.
*/
export type HttpAgentOptions = Omit<Agent.Options, 'connect' | 'factory'> & {
	/**
	In milliseconds.
	*/
	readonly connectTimeoutMs: number;
};

/**
Creates the connections of an HTTP client for reads of other services. They close on responses that never end beside their bodies;
`readBody` limits the bodies.
*/
export const createHttpAgent = ({
	connectTimeoutMs,
	...options
}: HttpAgentOptions): Agent =>
	new Agent({
		...options,
		connect: createHttpConnector(connectTimeoutMs),
		factory: (origin, poolOptions) =>
			new Pool(origin, {
				...(poolOptions as Pool.Options),
				factory: createMeteredClient,
			}),
	});
