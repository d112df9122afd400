import type {Controller} from '../controllers/index.ts';
import type {DigestEntry} from '../digests/index.ts';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {Member} from '../membership/index.ts';
import type {Address} from '../shared/index.ts';
import type {PlatformAnswer} from './configuration-controller.ts';
import type {NodeContext} from './node-context.ts';

/**
Brings a node up to date after its start and after a pause.
*/
export type RecoveryController = Controller & {
	/**
	Resolves once the node is up to date, or once it has waited as long as it may.
	*/
	waitUntilRecovered(): Promise<void>;
	isRecovering(): boolean;
};

/**
What recovery is built from.
*/
export type RecoveryOptions = {
	readonly context: NodeContext;
	/**
	Asks the platform for configuration and VM list.
	*/
	readonly queryPlatform: () => Promise<PlatformAnswer>;
	readonly onMembers: (members: readonly Member[]) => void;
	readonly onDigests: (digests: readonly DigestEntry[]) => void;
	/**
	Fetches the configuration of a peer that is ahead.
	*/
	readonly onStamp: (stamp: ConfigurationStamp, from: Address) => Promise<void>;
};

/**
After a pause requests wait at most this many milliseconds for word from outside.
*/
export const catchUpTimeoutMs = 1500;

/**
Peers asked at once, at the most.
*/
export const maximumPeersQueried = 3;

const addressesOf = (members: readonly Member[]): readonly Address[] =>
	members.map(({peerAddress}) => peerAddress);

/**
Builds the controller.
*/
export const createRecoveryController = (
	options: RecoveryOptions,
): RecoveryController => {
	const {context} = options;
	const {membership, settings, logger} = context;
	let recovery: Promise<void> = Promise.resolve();
	let isRecovering = true;

	const askPeer = async (peer: Address): Promise<void> => {
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

	const peersToAsk = (): readonly Address[] => {
		const own = settings.availabilityZone;
		const usable = membership.usable();
		const near = addressesOf(
			usable.filter(({availabilityZone}) => availabilityZone === own),
		);
		const far = addressesOf(
			usable.filter(({availabilityZone}) => availabilityZone !== own),
		);
		// What matters most, which servers are leaving, is known in the own zone only.
		const all = new Set([...near, ...settings.seedPeers, ...far]);
		all.delete(settings.peerAddress);
		return [...all].slice(
			0,
			near.length > 0
				? Math.min(near.length, maximumPeersQueried)
				: maximumPeersQueried,
		);
	};

	const askPlatform = async () => {
		const answer = await options.queryPlatform();
		if (answer === 'silent') {
			throw new Error('the platform did not answer');
		}
	};

	// Word from one peer is enough after a pause: peers share what matters within seconds.
	const catchUp = async (): Promise<void> => {
		const asked = peersToAsk();
		const answers = asked.map(async (peer) => askPeer(peer));
		const platform = askPlatform();
		try {
			await (asked.length > 0 ? Promise.any(answers) : platform);
		} catch {
			await platform.catch(() => undefined);
		}
	};

	// At a start, everyone is heard out within the bound: the platform may be stale, and a
	// peer may know of a later configuration.
	const join = async (): Promise<void> => {
		await askPlatform().catch(() => undefined);
		const answers = await Promise.allSettled(
			peersToAsk().map(async (peer) => askPeer(peer)),
		);
		const heard = answers.filter(({status}) => status === 'fulfilled').length;
		logger.info(
			{heard, version: context.configuration.stamp().version},
			'joined',
		);
	};

	const run = (step: () => Promise<void>, boundMs: number) => {
		isRecovering = true;
		let timer: NodeJS.Timeout | undefined;
		const bound = new Promise<void>((resolve) => {
			timer = setTimeout(resolve, boundMs);
		});
		recovery = Promise.race([step(), bound]).finally(() => {
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
		woken() {
			run(catchUp, catchUpTimeoutMs);
		},
	};
};
