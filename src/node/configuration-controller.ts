import type {
	ConfigurationSource,
	OfferResult,
	ConfigurationStamp,
	ParsedConfiguration,
} from '../configuration/index.ts';
import type {Controller} from '../controllers/index.ts';
import {hasRole} from '../membership/index.ts';
import type {Address} from '../shared/index.ts';
import type {NodeContext} from './node-context.ts';

/**
Keeps the configuration up to date from the platform and from peers.
*/
export type ConfigurationController = Controller & {
	/**
	Offers a configuration document from any source to the store.
	*/
	offer(text: string, source: ConfigurationSource): OfferResult['kind'];
	/**
	Fetches the configuration of a peer if the peer's stamp is ahead.
	*/
	receiveStamp(stamp: ConfigurationStamp, from: Address): void;
	/**
	Polls the platform once, on any node, not only on those that poll for their zone.
	*/
	queryPlatform(): Promise<PlatformAnswer>;
};

/**
Whether the platform answered.
*/
export type PlatformAnswer = 'answered' | 'silent';

/**
Callbacks of the controller.
*/
export type ConfigurationListeners = {
	readonly onAccepted: (parsed: ParsedConfiguration) => void;
};

const longPollMs = 20_000;
const retryDelayMs = 1000;

/**
Creates the controller.
*/
export const createConfigurationController = (
	context: NodeContext,
	{onAccepted}: ConfigurationListeners,
): ConfigurationController => {
	const {configuration, logger, membership, platform, clock} = context;
	const fetching = new Set<Address>();
	let isStopped = false;
	let isPolling = false;
	let nextPollAt = 0;

	const offer = (
		text: string,
		source: ConfigurationSource,
	): OfferResult['kind'] => {
		const outcome = configuration.offer(text, source, clock());
		if (outcome.kind === 'accepted') {
			const {version} = outcome.parsed.configuration;
			logger.info({version, source}, 'configuration accepted');
			onAccepted(outcome.parsed);
			return 'accepted';
		}

		const {refusal} = outcome;
		if (refusal.reason === 'invalid') {
			const faults = refusal.faults
				.map(({path, fault}) => `${path} ${fault}`)
				.slice(0, 5);
			logger.error(
				{source, faults: faults.join('; ')},
				'invalid configuration rejected; keeping the active configuration',
			);
		} else if (refusal.reason === 'older') {
			logger.debug({source}, 'older configuration ignored');
		}

		return 'refused';
	};

	const queryPlatform = async (waitMs = 0): Promise<PlatformAnswer> => {
		const read = await platform.readConfiguration(
			configuration.stamp().version,
			waitMs,
		);
		if (read.isErr) {
			logger.debug(
				{fault: read.error.kind},
				'configuration service did not answer',
			);
			nextPollAt = clock() + retryDelayMs;
			return 'silent';
		}

		if (
			read.value.kind === 'document' &&
			offer(read.value.text, 'platform') === 'refused'
		) {
			// The platform would return the same stale or invalid document again immediately.
			nextPollAt = clock() + retryDelayMs;
		}

		return 'answered';
	};

	const poll = async () => {
		isPolling = true;
		await queryPlatform(longPollMs);
		isPolling = false;
	};

	const fetchFrom = async (peer: Address) => {
		fetching.add(peer);
		const read = await context.peers.readConfiguration(peer);
		fetching.delete(peer);
		if (read.isOk && read.value !== undefined) {
			offer(read.value, 'peer');
		}
	};

	return {
		name: 'configuration',
		offer,
		queryPlatform: async () => queryPlatform(),
		receiveStamp(stamp, from) {
			if (!isStopped && configuration.isAhead(stamp) && !fetching.has(from)) {
				void fetchFrom(from);
			}
		},
		tick(now) {
			const isDue = !isPolling && !isStopped && now >= nextPollAt;
			if (
				isDue &&
				hasRole('configuration', membership.self(), membership.members())
			) {
				void poll();
			}
		},
		async stop() {
			isStopped = true;
		},
	};
};
