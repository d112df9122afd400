import {fingerprintOf} from '../quarantine/index.ts';
import type {Exchange} from './exchange.ts';

const fingerprints = new WeakMap<Exchange, string>();

/**
Returns the fingerprint of a request. It is computed on first use, because nearly all requests never need it.
*/
export const fingerprintOfExchange = (exchange: Exchange): string => {
	const fingerprint =
		fingerprints.get(exchange) ??
		fingerprintOf({...exchange, client: exchange.client?.name});
	fingerprints.set(exchange, fingerprint);
	return fingerprint;
};
