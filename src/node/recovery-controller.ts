import type {Controller} from '../controllers/index.ts';
import type {DigestEntry} from '../digests/index.ts';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {Member} from '../membership/index.ts';
import type {Address} from '../shared/index.ts';
import type {PlatformAnswer} from './configuration-controller.ts';
import type {NodeContext} from './node-context.ts';

/**
Synchronizes a node with its peers and the platform after its start and after a pause.
*/
export type RecoveryController = Controller & {
	/**
	Resolves once the node is up to date or the time limit of the recovery has elapsed.
	*/
	waitUntilRecovered(): Promise<void>;
	isRecovering(): boolean;
};

/**
Options of `createRecoveryController`.
*/
export type RecoveryOptions = {
	readonly context: NodeContext;
	/**
	Queries the platform for the configuration and the VM list.
	*/
	readonly queryPlatform: () => Promise<PlatformAnswer>;
	readonly onMembers: (members: readonly Member[]) => void;
	readonly onDigests: (digests: readonly DigestEntry[]) => void;
	/**
	Fetches the configuration of a peer whose stamp is ahead.
	*/
	readonly onStamp: (stamp: ConfigurationStamp, from: Address) => Promise<void>;
};

/**
Maximum time that requests wait for the node to catch up after a pause, in milliseconds.
*/
export const catchUpTimeoutMs = 1500;

/**
Maximum number of peers that are queried concurrently.
*/
export const maximumPeersQueried = 3;

const addressesOf = (members: readonly Member[]): readonly Address[] =>
	members.map(({peerAddress}) => peerAddress);

/**
Creates the controller.
*/
export const createRecoveryController = (
	options: RecoveryOptions,
): RecoveryController => {
	const {context} = options;
	const {membership, settings, logger} = context;
	let recovery: Promise<void> = Promise.resolve();
	let isRecovering = true;

	const syncWithPeer = async (peer: Address): Promise<void> => {
		const state = await context.peers.readState(
			peer,
			settings.availabilityZone,
		);
		if (state.isErr) {
			throw new Error(state.error);
		}

		options.onMembers(state.value.members);
		options.onDigests(state.value.digests);
		await options.onStamp(state.value.stamp, peer);
	};

	const selectPeers = (): readonly Address[] => {
		const localZone = settings.availabilityZone;
		const usable = membership.usable();
		const zonePeers = addressesOf(
			usable.filter(({availabilityZone}) => availabilityZone === localZone),
		);
		const remotePeers = addressesOf(
			usable.filter(({availabilityZone}) => availabilityZone !== localZone),
		);
		// Peers in the local zone come first: only they know which servers are leaving.
		const candidates = new Set([
			...zonePeers,
			...settings.seedPeers,
			...remotePeers,
		]);
		candidates.delete(settings.peerAddress);
		return [...candidates].slice(
			0,
			zonePeers.length > 0
				? Math.min(zonePeers.length, maximumPeersQueried)
				: maximumPeersQueried,
		);
	};

	const queryPlatformOrThrow = async () => {
		const answer = await options.queryPlatform();
		if (answer === 'silent') {
			throw new Error('platform did not answer');
		}
	};

	// After a pause, the answer of one peer is sufficient: peers exchange the essential state within seconds.
	const catchUp = async (): Promise<void> => {
		const selectedPeers = selectPeers();
		const answers = selectedPeers.map(async (peer) => syncWithPeer(peer));
		const platform = queryPlatformOrThrow();
		try {
			await (selectedPeers.length > 0 ? Promise.any(answers) : platform);
		} catch {
			await platform.catch(() => undefined);
		}
	};

	// At startup, the node waits for all selected peers within the time limit: the platform may be stale, and a peer may
	// have a later configuration.
	const join = async (): Promise<void> => {
		await queryPlatformOrThrow().catch(() => undefined);
		const answers = await Promise.allSettled(
			selectPeers().map(async (peer) => syncWithPeer(peer)),
		);
		const answeredPeers = answers.filter(
			({status}) => status === 'fulfilled',
		).length;
		logger.info(
			{heard: answeredPeers, version: context.configuration.stamp().version},
			'node joined',
		);
	};

	const run = (step: () => Promise<void>, timeoutMs: number) => {
		isRecovering = true;
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<void>((resolve) => {
			timer = setTimeout(resolve, timeoutMs);
		});
		recovery = Promise.race([step(), timeout]).finally(() => {
			clearTimeout(timer);
			isRecovering = false;
		});
	};

	return {
		name: 'recovery',
		waitUntilRecovered: async () => recovery,
		isRecovering: () => isRecovering,
		async start() {
			run(join, Math.max(1, settings.joinTimeoutMs));
			await recovery;
		},
		resumed() {
			run(catchUp, catchUpTimeoutMs);
		},
	};
};
