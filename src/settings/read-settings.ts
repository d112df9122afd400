import {Result} from 'true-myth';
import type {Setting, SettingValue} from './setting.ts';

/**
An invalid or missing setting.
*/
export type SettingFault = {
	readonly flag: string;
	readonly variable: string;
	/**
	The value given, masked if the setting is secret; undefined if there is none.
	*/
	readonly value: string | undefined;
	readonly fault: string;
	readonly allowed: string;
};

type Settings = Readonly<Record<string, Setting<unknown>>>;
type Values<Group extends Settings> = {
	readonly [Name in keyof Group]: SettingValue<Group[Name]>;
};

/**
Reads a group of settings. A flag takes precedence over an environment variable, and a variable
over the default. All faults are reported together.
*/
export const readSettings = <Group extends Settings>(
	group: Group,
	flags: Readonly<Record<string, string | undefined>>,
	environment: Readonly<Record<string, string | undefined>>,
): Result<Values<Group>, readonly SettingFault[]> => {
	const faults: SettingFault[] = [];
	const values: Record<string, unknown> = {};
	for (const [name, setting] of Object.entries(group)) {
		const text =
			flags[name] ?? environment[setting.variable] ?? setting.fallback;
		const read =
			text === undefined
				? Result.err<unknown, string>('is not set')
				: setting.read(text);
		if (read.isOk) {
			values[name] = read.value;
		} else {
			faults.push(describeFault(setting, text, read.error));
		}
	}

	return faults.length > 0
		? Result.err(faults)
		: Result.ok(values as Values<Group>);
};

/**
Formats a fault as one line that names the setting and its allowed values.
*/
export const formatSettingFault = ({
	flag,
	variable,
	value,
	fault,
	allowed,
}: SettingFault): string => {
	const givenValue = value === undefined ? '' : ` "${value}"`;
	return `${flag} (or ${variable})${givenValue} ${fault}; allowed: ${allowed}`;
};

const describeFault = (
	setting: Setting<unknown>,
	text: string | undefined,
	fault: string,
): SettingFault => ({
	flag: setting.flag,
	variable: setting.variable,
	value: text !== undefined && setting.isSecret ? '***' : text,
	fault,
	allowed: setting.allowed,
});
