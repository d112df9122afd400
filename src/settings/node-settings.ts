import {addressSetting, textSetting} from './setting-kinds.ts';

const nameForm = /^[\da-z][\d\-.a-z]{0,62}$/v;
const nameAllowed =
	'lower-case letters, digits, "." and "-", at most 63 characters';

/**
What every node needs to know, whatever it serves.
*/
export const nodeSettings = {
	nodeId: textSetting(
		{
			flag: '--node-id',
			description: 'Name of this node, unique among all nodes',
		},
		nameForm,
		nameAllowed,
	),
	availabilityZone: textSetting(
		{flag: '--availability-zone', description: 'Availability zone of this VM'},
		nameForm,
		nameAllowed,
	),
	callerAddress: addressSetting({
		flag: '--caller-address',
		description: 'Where callers connect',
	}),
	peerAddress: addressSetting({
		flag: '--peer-address',
		description: 'Where other nodes connect (UDP and TCP)',
	}),
} as const;
