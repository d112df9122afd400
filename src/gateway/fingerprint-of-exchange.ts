import {
	fingerprintOf,
	maximumPartsPerPrompt,
	partFingerprintOf,
} from '../quarantine/index.ts';
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

/**
Returns the fingerprints of the parts of a prompt that other requests may share, which are all but the last.
*/
export const partFingerprintsOfExchange = ({
	prompt,
	service,
}: Pick<Exchange, 'prompt' | 'service'>): readonly string[] =>
	(prompt?.parts ?? [])
		.slice(0, -1)
		.slice(0, maximumPartsPerPrompt)
		.map(({id}) => partFingerprintOf(service, id));
