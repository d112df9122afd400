import {type Result} from 'true-myth';

/**
A setting: its names, its parser and its help text.
*/
export type Setting<Value> = {
	readonly flag: string;
	readonly variable: string;
	readonly description: string;
	/**
	Description of valid values, for error messages and help texts.
	*/
	readonly allowed: string;
	/**
	Default, in text form, if neither flag nor variable is given; undefined makes the setting required.
	*/
	readonly fallback: string | undefined;
	/**
	Whether the value is masked in messages.
	*/
	readonly isSecret: boolean;
	read(text: string): Result<Value, string>;
};

/**
The value type of a setting.
*/
export type SettingValue<Item> =
	Item extends Setting<infer Value> ? Value : never;

type SettingOptions = {
	readonly flag: string;
	readonly description: string;
	readonly fallback?: string;
	readonly isSecret?: boolean;
};

const variablePrefix = 'QUILLFORD_';

/**
Returns the name of the environment variable that corresponds to a flag.
*/
export const environmentVariableOf = (flag: string): string =>
	variablePrefix + flag.replace(/^--/v, '').replaceAll('-', '_').toUpperCase();

/**
Creates a setting from its options, the description of valid values and its parser.
*/
export const createSetting = <Value>(
	options: SettingOptions,
	allowed: string,
	read: (text: string) => Result<Value, string>,
): Setting<Value> => ({
	flag: options.flag,
	variable: environmentVariableOf(options.flag),
	description: options.description,
	allowed,
	fallback: options.fallback,
	isSecret: options.isSecret ?? false,
	read,
});
