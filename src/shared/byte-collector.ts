import {Buffer} from 'node:buffer';

/**
Joins the parts of a body while they arrive. It takes at most twice the memory of the bytes, in however small parts they arrive.
*/
export type ByteCollector = {
	add(part: Uint8Array): void;
	size(): number;
	/**
	Returns all bytes so far. They must not be changed, and no part may be added afterwards.
	*/
	bytes(): Buffer;
	/**
	Drops all bytes.
	*/
	clear(): void;
};

const empty = Buffer.alloc(0);

/**
Creates an empty collector.

@param expectedBytes Size of the body if it is known; it then takes the memory of its bytes once.
*/
export const createByteCollector = (expectedBytes = 0): ByteCollector => {
	// Most bodies are a single part, which is not copied.
	let only: Uint8Array | undefined;
	let joined = empty;
	let size = 0;

	const append = (part: Uint8Array) => {
		if (size + part.length > joined.length) {
			const larger = Buffer.allocUnsafe(
				size + part.length <= expectedBytes
					? expectedBytes
					: (size + part.length) * 2,
			);
			joined.copy(larger, 0, 0, size);
			joined = larger;
		}

		joined.set(part, size);
		size += part.length;
	};

	return {
		add(part) {
			if (size === 0) {
				only = part;
				size = part.length;
				return;
			}

			if (only) {
				const first = only;
				only = undefined;
				size = 0;
				append(first);
			}

			append(part);
		},
		size: () => size,
		bytes: () =>
			only
				? Buffer.from(only.buffer, only.byteOffset, only.length)
				: joined.subarray(0, size),
		clear() {
			only = undefined;
			joined = empty;
			size = 0;
		},
	};
};
