import type {ConfigurationFault} from './configuration-fault.ts';
import {
	parseConfiguration,
	type ParsedConfiguration,
} from './parse-configuration.ts';

/**
Origin of a configuration document.
*/
export type ConfigurationSource = 'platform' | 'peer' | 'file';

/**
Identifies the configuration in force on a node. Nodes exchange stamps.
*/
export type ConfigurationStamp = {
	readonly version: number;
	readonly digest: string;
};

/**
A document that the store did not accept.
*/
export type RejectedDocument = {
	readonly at: number;
	readonly source: ConfigurationSource;
	readonly reason: 'invalid' | 'older' | 'same';
	readonly faults: readonly ConfigurationFault[];
};

/**
Result of offering a document to the store.
*/
export type OfferResult =
	| {readonly kind: 'accepted'; readonly parsed: ParsedConfiguration}
	| {readonly kind: 'refused'; readonly refusal: RejectedDocument};

/**
Holds the configuration in force. Its version never decreases.
*/
export type ConfigurationStore = {
	current(): ParsedConfiguration | undefined;
	stamp(): ConfigurationStamp;
	offer(text: string, source: ConfigurationSource, now: number): OfferResult;
	/**
	Whether a peer's stamp is newer than that of the document in force.
	*/
	isAhead(stamp: ConfigurationStamp): boolean;
	/**
	The most recent rejected documents, oldest first.
	*/
	refusals(): readonly RejectedDocument[];
};

const maximumRejections = 50;

// In characters: short because every heartbeat carries a stamp, and long enough to distinguish documents.
const stampDigestLength = 12;

/**
The stamp of a node without a configuration.
*/
export const noConfiguration: ConfigurationStamp = {version: 0, digest: ''};

/**
Compares two stamps, first by version and then by digest.

Two documents with the same version are an error of the publisher. The larger digest wins, so that
all nodes converge on the same document.
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
Creates a store without a configuration.
*/
export const createConfigurationStore = (): ConfigurationStore => {
	let current: ParsedConfiguration | undefined;
	let rejections: readonly RejectedDocument[] = [];

	const stamp = () => (current ? stampOf(current) : noConfiguration);

	const reject = (refusal: RejectedDocument): OfferResult => {
		// The platform and several peers offer the document in force again and again; only faults are recorded.
		if (refusal.reason !== 'same') {
			rejections = [...rejections, refusal].slice(-maximumRejections);
		}

		return {kind: 'refused', refusal};
	};

	return {
		current: () => current,
		stamp,
		offer(text, source, now) {
			if (current?.text === text) {
				return reject({at: now, source, reason: 'same', faults: []});
			}

			const parsed = parseConfiguration(text);
			if (parsed.isErr) {
				return reject({
					at: now,
					source,
					reason: 'invalid',
					faults: parsed.error,
				});
			}

			if (compareStamps(stampOf(parsed.value), stamp()) <= 0) {
				return reject({at: now, source, reason: 'older', faults: []});
			}

			current = parsed.value;
			return {kind: 'accepted', parsed: parsed.value};
		},
		isAhead: (other) => compareStamps(other, stamp()) > 0,
		refusals: () => rejections,
	};
};

const stampOf = (parsed: ParsedConfiguration): ConfigurationStamp => ({
	version: parsed.configuration.version,
	digest: parsed.digest.slice(0, stampDigestLength),
});
