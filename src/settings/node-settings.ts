import {addressSetting, textSetting} from './setting-kinds.ts';

const namePattern = /^[\da-z][\d\-.a-z]{0,62}$/v;
const nameAllowed =
	'lower-case letters, digits, "." and "-", at most 63 characters';

/**
Settings that all kinds of nodes have in common.
*/
export const nodeSettings = {
	nodeId: textSetting(
		{
			flag: '--node-id',
			description: 'Name of this node, unique among all nodes',
		},
		namePattern,
		nameAllowed,
	),
	availabilityZone: textSetting(
		{flag: '--availability-zone', description: 'Availability zone of this VM'},
		namePattern,
		nameAllowed,
	),
	callerAddress: addressSetting({
		flag: '--caller-address',
		description: 'Address that callers connect to',
	}),
	peerAddress: addressSetting({
		flag: '--peer-address',
		description: 'Address that other nodes connect to (UDP and TCP)',
	}),
} as const;
