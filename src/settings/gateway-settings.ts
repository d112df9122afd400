import {Result} from 'true-myth';
import {logLevelNames} from '../logging/index.ts';
import {
	mechanisms,
	parseDisabledMechanisms,
	type DisabledMechanisms,
} from '../mechanisms/index.ts';
import {nodeSettings} from './node-settings.ts';
import {createSetting, type SettingValue} from './setting.ts';
import {
	addressListSetting,
	addressSetting,
	choiceSetting,
	numberSetting,
} from './setting-kinds.ts';

const pairPattern = /^[^\s,=]+=[^\s,=]+$/v;

/**
The settings of `quillford gateway`; each is a flag and an environment variable.
*/
export const gatewaySettings = {
	...nodeSettings,
	zones: createSetting<Readonly<Record<string, string>>>(
		{
			flag: '--zones',
			description: 'All availability zones and their regions',
		},
		'pairs such as abj-wuse=abuja, separated by commas',
		(text) => {
			const pairs = text.split(',');
			return pairs.every((pair) => pairPattern.test(pair))
				? Result.ok(Object.fromEntries(pairs.map((pair) => pair.split('=', 2))))
				: Result.err('is not a list of NAME=REGION pairs');
		},
	),
	registryAddress: addressSetting({
		flag: '--registry-address',
		description: 'HTTP address of the registry of routes and backend servers',
	}),
	seedPeers: addressListSetting({
		flag: '--seed-peers',
		description: 'Peer addresses of other nodes to contact at start',
		fallback: '',
	}),
	drainTimeoutMs: numberSetting(
		{
			flag: '--drain-timeout-ms',
			description:
				'Time that a graceful shutdown waits for requests in flight, in milliseconds',
			fallback: '10000',
		},
		0,
		3_600_000,
	),
	memoryMb: numberSetting(
		{
			flag: '--memory-mb',
			description:
				'Memory that the node may use, in MB; 0 for that of its control group or machine',
			fallback: '0',
		},
		0,
		1_048_576,
	),
	without: createSetting<DisabledMechanisms>(
		{
			flag: '--without',
			description:
				'Mechanisms to disable, to measure the effect of each; for diagnosis only',
			fallback: '',
		},
		`names separated by commas, or empty, of ${mechanisms.join(', ')}`,
		parseDisabledMechanisms,
	),
	logLevel: choiceSetting(
		{
			flag: '--log-level',
			description: 'Lowest level that is logged',
			fallback: 'info',
		},
		logLevelNames,
	),
} as const;

/**
The values of the settings of `quillford gateway`.
*/
export type GatewaySettings = {
	readonly [Name in keyof typeof gatewaySettings]: SettingValue<
		(typeof gatewaySettings)[Name]
	>;
};
