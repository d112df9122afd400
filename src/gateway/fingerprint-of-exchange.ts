import {fingerprintOf} from '../quarantine/index.ts';
import type {Exchange} from './exchange.ts';

const known = new WeakMap<Exchange, string>();

/**
The fingerprint of a request, worked out when it is first asked for: of nearly all requests it never is.
*/
export const fingerprintOfExchange = (exchange: Exchange): string => {
	const fingerprint =
		known.get(exchange) ??
		fingerprintOf({...exchange, client: exchange.client?.name});
	known.set(exchange, fingerprint);
	return fingerprint;
};
