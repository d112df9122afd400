import {Result} from 'true-myth';
import {isAddress, type Address} from '../shared/index.ts';
import {createSetting, type Setting} from './setting.ts';

type Options = Parameters<typeof createSetting>[0];

/**
Creates a setting whose value must match a pattern.
*/
export const textSetting = (
	options: Options,
	pattern: RegExp,
	allowed: string,
): Setting<string> =>
	createSetting(options, allowed, (text) =>
		pattern.test(text) ? Result.ok(text) : Result.err('has an invalid format'),
	);

/**
Creates a setting for an integer within bounds, both inclusive.
*/
export const numberSetting = (
	options: Options,
	minimum: number,
	maximum: number,
): Setting<number> =>
	createSetting(
		options,
		`a whole number from ${minimum} to ${maximum}`,
		(text) => {
			const value = Number(text);
			if (text.trim() === '' || !Number.isSafeInteger(value)) {
				return Result.err('is not a whole number');
			}

			return value < minimum || value > maximum
				? Result.err('is out of range')
				: Result.ok(value);
		},
	);

/**
Creates a setting for an IP address and port.
*/
export const addressSetting = (options: Options): Setting<Address> =>
	createSetting(
		options,
		'an IP address and a port, such as 10.0.0.7:8000',
		(text) =>
			isAddress(text)
				? Result.ok(text)
				: Result.err('is not an IP address and port'),
	);

/**
Creates a setting for an IP address and port; an empty value means none.
*/
export const optionalAddressSetting = (
	options: Options,
): Setting<Address | undefined> =>
	createSetting<Address | undefined>(
		options,
		'an IP address and a port, or empty',
		(text) =>
			text === '' || isAddress(text)
				? Result.ok(text === '' ? undefined : text)
				: Result.err('is not an IP address and port'),
	);

/**
Creates a setting for a comma-separated list of IP addresses and ports.
*/
export const addressListSetting = (
	options: Options,
): Setting<readonly Address[]> =>
	createSetting<readonly Address[]>(
		options,
		'IP addresses and ports, separated by commas, or empty',
		(text) => {
			const addresses = splitList(text);
			return addresses.every((address) => isAddress(address))
				? Result.ok(addresses)
				: Result.err('contains an entry that is not an IP address and port');
		},
	);

/**
Creates a setting for a comma-separated list of address pairs.
*/
export const addressPairsSetting = (
	options: Options,
): Setting<ReadonlyMap<Address, Address>> =>
	createSetting<ReadonlyMap<Address, Address>>(
		options,
		'pairs IP:PORT=IP:PORT, separated by commas, or empty',
		(text) => {
			const pairs = splitList(text).map((pair) => pair.split('='));
			const isValid = pairs.every(
				(pair) =>
					pair.length === 2 && pair.every((address) => isAddress(address)),
			);
			return isValid
				? Result.ok(new Map(pairs.map(([from, to]) => [from!, to!])))
				: Result.err('contains an entry that is not a pair of addresses');
		},
	);

/**
Creates a setting whose value is one of the given choices.
*/
export const choiceSetting = <Choice extends string>(
	options: Options,
	choices: readonly Choice[],
): Setting<Choice> =>
	createSetting<Choice>(options, `one of ${choices.join(', ')}`, (text) => {
		const choice = choices.find((candidate) => candidate === text);
		return choice === undefined
			? Result.err('is not one of the choices')
			: Result.ok(choice);
	});

const splitList = (text: string): readonly string[] =>
	text
		.split(',')
		.map((part) => part.trim())
		.filter((part) => part !== '');
