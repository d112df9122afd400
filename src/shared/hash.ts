import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import murmurhash from 'murmurhash';

/**
Returns a 32-bit hash of a text that is the same on every VM.
*/
export const stableHash = (text: string, seed = 0): number =>
	murmurhash.v3(text, seed);

// Caches the hashes of server and node ids: they recur, and encoding a text costs far more than mixing
// two numbers.
const idHashes = new Map<string, number>();
const maximumIdHashes = 10_000;

const idHash = (id: string): number => {
	const cached = idHashes.get(id);
	if (cached !== undefined) {
		return cached;
	}

	if (idHashes.size >= maximumIdHashes) {
		idHashes.clear();
	}

	const hash = stableHash(id);
	idHashes.set(id, hash);
	return hash;
};

// Applies the finalizer of MurmurHash to two 32-bit numbers.
/* eslint-disable no-bitwise -- hash functions mix bits */
const mix = (left: number, right: number): number => {
	let mixed = left ^ Math.imul(right, 0x9e_37_79_b1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};
/* eslint-enable no-bitwise */

/**
 Returns a function that computes the weight of an id for a key, for rendezvous (highest random weight) hashing.

 Every VM computes the same weights without exchanging messages.
 */
export const keyedWeight = (key: string): ((id: string) => number) => {
	const hash = stableHash(key);
	return (id) => mix(hash, idHash(id));
};

/**
 Sorts members in the rendezvous hashing order of a key.

 Every VM that knows the same members computes the same order. When a member is removed, only
 the keys that were assigned to it move.
 */
export const rendezvousOrder = <Member>(
	key: string,
	members: readonly Member[],
	idOf: (member: Member) => string,
): readonly Member[] => {
	const weightOf = keyedWeight(key);
	return members
		.map((member) => ({
			member,
			weight: weightOf(idOf(member)),
			id: idOf(member),
		}))
		.toSorted((left, right) =>
			right.weight === left.weight
				? compareTexts(left.id, right.id)
				: right.weight - left.weight,
		)
		.map(({member}) => member);
};

/**
Returns the first member in the order of `rendezvousOrder` without sorting.
*/
export const rendezvousFirst = <Member>(
	key: string,
	members: Iterable<Member>,
	idOf: (member: Member) => string,
): Member | undefined => {
	const weightOf = keyedWeight(key);
	let first: Member | undefined;
	let firstWeight = -1;
	for (const member of members) {
		const weight = weightOf(idOf(member));
		const isFirst =
			weight > firstWeight ||
			(weight === firstWeight &&
				first !== undefined &&
				compareTexts(idOf(member), idOf(first)) < 0);
		if (!isFirst) {
			continue;
		}

		first = member;
		firstWeight = weight;
	}

	return first;
};

/**
Returns the SHA-256 digest of a text in hexadecimal, the form in which client keys are stored.
*/
export const sha256 = (text: string): string =>
	createHash('sha256').update(text).digest('hex');

/**
Compares two digests in constant time, to prevent timing attacks.
*/
export const isEqualInConstantTime = (left: string, right: string): boolean => {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return (
		leftBytes.length === rightBytes.length &&
		timingSafeEqual(leftBytes, rightBytes)
	);
};

const compareTexts = (left: string, right: string): number =>
	left < right ? -1 : 1;
