import type {ConfigurationFault} from './configuration-fault.ts';
import {
	parseConfiguration,
	type ParsedConfiguration,
} from './parse-configuration.ts';

/**
Where a document came from.
*/
export type ConfigurationSource = 'platform' | 'peer' | 'file';

/**
What a node tells others about the configuration it has in force.
*/
export type ConfigurationStamp = {
	readonly version: number;
	readonly digest: string;
};

/**
One document that was not accepted.
*/
export type Refusal = {
	readonly at: number;
	readonly source: ConfigurationSource;
	readonly reason: 'invalid' | 'older' | 'same';
	readonly faults: readonly ConfigurationFault[];
};

/**
What became of an offered document.
*/
export type Offer =
	| {readonly kind: 'accepted'; readonly parsed: ParsedConfiguration}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/**
Holds the configuration in force; its version only rises.
*/
export type ConfigurationStore = {
	current(): ParsedConfiguration | undefined;
	stamp(): ConfigurationStamp;
	offer(text: string, source: ConfigurationSource, now: number): Offer;
	/**
	Whether a peer's stamp is ahead of the document in force.
	*/
	isAhead(stamp: ConfigurationStamp): boolean;
	/**
	The latest refusals, oldest first.
	*/
	refusals(): readonly Refusal[];
};

const maximumRefusals = 50;

// Enough to tell documents apart; stamps travel with every heartbeat.
const stampDigestLength = 12;

/**
The stamp of a node that has no configuration yet.
*/
export const noConfiguration: ConfigurationStamp = {version: 0, digest: ''};

/**
 Orders two stamps.
 
 Versions come first. Two documents with one version are a fault of the publisher;
 the larger digest wins, so that every node settles on the same one.
 */
export const compareStamps = (
	left: ConfigurationStamp,
	right: ConfigurationStamp,
): number => {
	if (left.version !== right.version) {
		return left.version - right.version;
	}

	if (left.digest === right.digest) {
		return 0;
	}

	return left.digest < right.digest ? -1 : 1;
};

/**
Builds a store without a configuration.
*/
export const createConfigurationStore = (): ConfigurationStore => {
	let current: ParsedConfiguration | undefined;
	let refusals: readonly Refusal[] = [];

	const stamp = () => (current ? stampOf(current) : noConfiguration);

	const refuse = (refusal: Refusal): Offer => {
		// A document already in force comes by many paths; only real faults are worth keeping.
		if (refusal.reason !== 'same') {
			refusals = [...refusals, refusal].slice(-maximumRefusals);
		}

		return {kind: 'refused', refusal};
	};

	return {
		current: () => current,
		stamp,
		offer(text, source, now) {
			if (current?.text === text) {
				return refuse({at: now, source, reason: 'same', faults: []});
			}

			const parsed = parseConfiguration(text);
			if (parsed.isErr) {
				return refuse({
					at: now,
					source,
					reason: 'invalid',
					faults: parsed.error,
				});
			}

			if (compareStamps(stampOf(parsed.value), stamp()) <= 0) {
				return refuse({at: now, source, reason: 'older', faults: []});
			}

			current = parsed.value;
			return {kind: 'accepted', parsed: parsed.value};
		},
		isAhead: (other) => compareStamps(other, stamp()) > 0,
		refusals: () => refusals,
	};
};

const stampOf = (parsed: ParsedConfiguration): ConfigurationStamp => ({
	version: parsed.configuration.version,
	digest: parsed.digest.slice(0, stampDigestLength),
});
