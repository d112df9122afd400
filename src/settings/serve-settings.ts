import {logLevelNames} from '../logging/index.ts';
import {nodeSettings} from './node-settings.ts';
import type {SettingValue} from './setting.ts';
import {
	addressListSetting,
	addressPairsSetting,
	addressSetting,
	choiceSetting,
	numberSetting,
	optionalAddressSetting,
	textSetting,
} from './setting-kinds.ts';

const keyPattern = /^\S{16,}$/v;
const keyAllowed = 'at least 16 characters without white space';
const mebibyte = 1_048_576;

/**
The settings of `quillford serve`; each is a flag and an environment variable.
*/
export const serveSettings = {
	...nodeSettings,
	administrationAddress: addressSetting({
		flag: '--administration-address',
		description: 'Address that operators connect to',
	}),
	administrationKey: textSetting(
		{
			flag: '--administration-key',
			description: 'Bearer key of the administration API',
			isSecret: true,
		},
		keyPattern,
		keyAllowed,
	),
	peerKey: textSetting(
		{
			flag: '--peer-key',
			description:
				'Key shared by all nodes; authenticates the messages between them',
			isSecret: true,
		},
		keyPattern,
		keyAllowed,
	),
	platformAddress: addressSetting({
		flag: '--platform-address',
		description: 'Address of the platform services',
	}),
	seedPeers: addressListSetting({
		flag: '--seed-peers',
		description:
			'Peer addresses to contact at start, in addition to the VM list',
		fallback: '',
	}),
	addressTranslations: addressPairsSetting({
		flag: '--address-translations',
		description:
			'Published addresses and the addresses that reach them from this VM',
		fallback: '',
	}),
	statsdAddress: optionalAddressSetting({
		flag: '--statsd-address',
		description: 'Address that receives the metrics (StatsD over UDP)',
		fallback: '',
	}),
	logLevel: choiceSetting(
		{
			flag: '--log-level',
			description: 'Lowest level that is logged',
			fallback: 'info',
		},
		logLevelNames,
	),
	maximumBodyBytes: numberSetting(
		{
			flag: '--maximum-body-bytes',
			description: 'Maximum length of a request body, in bytes',
			fallback: String(4 * mebibyte),
		},
		1024,
		64 * mebibyte,
	),
	maximumWaiting: numberSetting(
		{
			flag: '--maximum-waiting',
			description: 'Maximum number of requests that wait for a free slot',
			fallback: '64',
		},
		0,
		10_000,
	),
	maximumWaitMs: numberSetting(
		{
			flag: '--maximum-wait-ms',
			description: 'Maximum wait for a free slot, in milliseconds',
			fallback: '1000',
		},
		0,
		60_000,
	),
	joinTimeoutMs: numberSetting(
		{
			flag: '--join-timeout-ms',
			description:
				'Time that a starting node waits for its peers before it serves, in milliseconds',
			fallback: '1500',
		},
		0,
		60_000,
	),
	drainTimeoutMs: numberSetting(
		{
			flag: '--drain-timeout-ms',
			description:
				'Time that a graceful shutdown waits for requests in flight, in milliseconds',
			fallback: '600000',
		},
		0,
		86_400_000,
	),
} as const;

/**
The values of all settings of `quillford serve`.
*/
export type ServeSettings = {
	readonly [Name in keyof typeof serveSettings]: SettingValue<
		(typeof serveSettings)[Name]
	>;
};
