import type {
	ConfigurationSource,
	Offer,
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
	Takes a document from any source.
	*/
	offer(text: string, source: ConfigurationSource): Offer['kind'];
	/**
	Fetches from a peer whose stamp is ahead.
	*/
	heard(stamp: ConfigurationStamp, from: Address): void;
	/**
	Polls the platform once, on every node, not only the one that polls for its zone.
	*/
	askPlatform(): Promise<PlatformAnswer>;
};

/**
Whether the platform answered.
*/
export type PlatformAnswer = 'answered' | 'silent';

/**
What the controller tells others.
*/
export type ConfigurationListeners = {
	readonly onAccepted: (parsed: ParsedConfiguration) => void;
};

const watchMs = 20_000;
const retryMs = 1000;

/**
Builds the controller.
*/
export const createConfigurationController = (
	context: NodeContext,
	{onAccepted}: ConfigurationListeners,
): ConfigurationController => {
	const {configuration, logger, membership, platform, clock} = context;
	const fetching = new Set<Address>();
	let isStopped = false;
	let isWatching = false;
	let nextWatchAt = 0;

	const offer = (text: string, source: ConfigurationSource): Offer['kind'] => {
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
				'configuration refused; the one in force stays',
			);
		} else if (refusal.reason === 'older') {
			logger.debug({source}, 'older configuration ignored');
		}

		return 'refused';
	};

	const askPlatform = async (waitMs = 0): Promise<PlatformAnswer> => {
		const read = await platform.readConfiguration(
			configuration.stamp().version,
			waitMs,
		);
		if (read.isErr) {
			logger.debug(
				{fault: read.error.kind},
				'the configuration service did not answer',
			);
			nextWatchAt = clock() + retryMs;
			return 'silent';
		}

		if (
			read.value.kind === 'document' &&
			offer(read.value.text, 'platform') === 'refused'
		) {
			// A stale or invalid document would be handed out again at once.
			nextWatchAt = clock() + retryMs;
		}

		return 'answered';
	};

	const watch = async () => {
		isWatching = true;
		await askPlatform(watchMs);
		isWatching = false;
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
		askPlatform: async () => askPlatform(),
		heard(stamp, from) {
			if (!isStopped && configuration.isAhead(stamp) && !fetching.has(from)) {
				void fetchFrom(from);
			}
		},
		tick(now) {
			const isDue = !isWatching && !isStopped && now >= nextWatchAt;
			if (
				isDue &&
				hasRole('configuration', membership.self(), membership.members())
			) {
				void watch();
			}
		},
		async stop() {
			isStopped = true;
		},
	};
};
