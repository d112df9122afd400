import type {ConfigurationStamp} from '../configuration/index.ts';
import type {RegistryCursor} from './registry-position.ts';

/**
The state of a node's registry mirror, sent to other nodes with every heartbeat.
*/
export type RegistryStamp = RegistryCursor & {
	/**
	Version of the routes in force.
	*/
	readonly routesVersion: number;
	/**
	Whether the node holds state that the registry lost when it was restored from an older copy.
	*/
	readonly isAheadOfRegistry: boolean;
};

const digestPattern =
	/^(?<era>\d{1,15})\.(?<routes>\d{1,15})\.(?<isAhead>[01])$/v;

/**
Encodes a stamp for a heartbeat. Nodes running a version without eras send and read only the version.
*/
export const encodeRegistryStamp = (
	stamp: RegistryStamp,
): ConfigurationStamp => ({
	version: stamp.revision,
	digest: `${stamp.era ?? 0}.${stamp.routesVersion}.${stamp.isAheadOfRegistry ? 1 : 0}`,
});

/**
Decodes a stamp. A stamp whose digest has another format yields only the revision.
*/
export const decodeRegistryStamp = ({
	version,
	digest,
}: ConfigurationStamp): RegistryStamp => {
	const parts = digestPattern.exec(digest)?.groups;
	return {
		era: parts && Number(parts.era),
		revision: version,
		routesVersion: Number(parts?.routes ?? 0),
		isAheadOfRegistry: parts?.isAhead === '1',
	};
};
