import type {ConfigurationStamp} from '../configuration/index.ts';
import type {RegistryCursor} from './registry-position.ts';

/**
What a node tells others about its copy of the registry with every heartbeat.
*/
export type RegistryStamp = RegistryCursor & {
	/**
	Version of the routes in force.
	*/
	readonly routesVersion: number;
	/**
	Whether the node holds to statements that the registry lost when it came back from an older copy.
	*/
	readonly isAheadOfRegistry: boolean;
};

const digestPattern =
	/^(?<era>\d{1,15})\.(?<routes>\d{1,15})\.(?<beyond>[01])$/v;

/**
Encodes a stamp as heartbeats carry it. Nodes of versions without eras send and heed the version only.
*/
export const encodeRegistryStamp = (
	stamp: RegistryStamp,
): ConfigurationStamp => ({
	version: stamp.revision,
	digest: `${stamp.era ?? 0}.${stamp.routesVersion}.${stamp.isAheadOfRegistry ? 1 : 0}`,
});

/**
Decodes a stamp; one of another form states its revision only.
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
		isAheadOfRegistry: parts?.beyond === '1',
	};
};
