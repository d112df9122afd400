/**
An IP address and port, in the form `IP:PORT`.
*/
export type Address = string;

/**
Splits an address into host and port.
*/
export const splitAddress = (
	address: Address,
): {readonly host: string; readonly port: number} => {
	const index = address.lastIndexOf(':');
	return {
		host: address.slice(0, index),
		port: Number(address.slice(index + 1)),
	};
};

/**
Returns whether a text is an IPv4 address with a port.
*/
export const isAddress = (text: string): boolean => {
	const match = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v.exec(
		text,
	);
	if (!match?.groups) {
		return false;
	}

	const areOctetsValid = match.groups
		.host!.split('.')
		.every((part) => Number(part) <= 255);
	return areOctetsValid && Number(match.groups.port) <= 65_535;
};

/**
 Maps an address that the platform publishes to the address at which this VM reaches it.

 Networks between regions often translate addresses, so every connection to another
 VM is opened through this map.
 */
export type AddressTranslation = (address: Address) => Address;

/**
Creates a translation from pairs of published and reachable address. An address without a pair is returned unchanged.
*/
export const createAddressTranslation =
	(pairs: ReadonlyMap<Address, Address>): AddressTranslation =>
	(address) =>
		pairs.get(address) ?? address;
