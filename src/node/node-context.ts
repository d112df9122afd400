import type {ConfigurationStore} from '../configuration/index.ts';
import type {DigestTable} from '../digests/index.ts';
import type {Fleet} from '../fleet/index.ts';
import type {Logger} from '../logging/index.ts';
import type {Membership} from '../membership/index.ts';
import type {PeerCalls} from '../peers/index.ts';
import type {PlatformClient} from '../platform/index.ts';
import type {ServeSettings} from '../settings/index.ts';

/**
State and clients that the controllers of one node share.
*/
export type NodeContext = {
	readonly settings: ServeSettings;
	/**
	A monotonic clock, in milliseconds.
	*/
	readonly clock: () => number;
	readonly configuration: ConfigurationStore;
	readonly membership: Membership;
	readonly digests: DigestTable;
	readonly fleet: Fleet;
	readonly peers: PeerCalls;
	readonly platform: PlatformClient;
	readonly logger: Logger;
	/**
	Returns the region of this node, or an empty string before the first configuration.
	*/
	readonly localRegion: () => string;
};
