import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import murmurhash from 'murmurhash';

/**
A stable 32-bit hash of a text, the same on every VM.
*/
export const stableHash = (text: string, seed = 0): number =>
	murmurhash.v3(text, seed);

// Encoding a text costs far more than mixing two numbers, and the ids of servers and nodes
// come up again and again: each is hashed once.
const idHashes = new Map<string, number>();
const maximumIdHashes = 10_000;

const idHash = (id: string): number => {
	const known = idHashes.get(id);
	if (known !== undefined) {
		return known;
	}

	if (idHashes.size >= maximumIdHashes) {
		idHashes.clear();
	}

	const hash = stableHash(id);
	idHashes.set(id, hash);
	return hash;
};

// The last step of MurmurHash over two 32-bit numbers.
/* eslint-disable no-bitwise -- mixing bits is what a hash does */
const mix = (left: number, right: number): number => {
	let mixed = left ^ Math.imul(right, 0x9e_37_79_b1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};
/* eslint-enable no-bitwise */

/**
 The weight of each id under one key, for rendezvous (highest random weight) hashing.
 
 Every VM derives the same weights without a message.
 */
export const keyedWeight = (key: string): ((id: string) => number) => {
	const hash = stableHash(key);
	return (id) => mix(hash, idHash(id));
};

/**
 Orders members by rendezvous hashing for one key.
 
 Every VM that sees the same members derives the same order; when a member goes, only
 the keys it held move.
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
The first member in the order of `rendezvousOrder`, found without sorting.
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
The SHA-256 digest of a text in hexadecimal, as client keys are stored.
*/
export const sha256 = (text: string): string =>
	createHash('sha256').update(text).digest('hex');

/**
Compares two digests without telling by its time where they differ.
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
