import type {Buffer} from 'node:buffer';
import {createByteCollector} from './byte-collector.ts';

/**
Code of the error with which the reading of a body that is too long ends.
*/
export const tooLongCode = 'RESPONSE_TOO_LONG';

/**
Reads a whole body of limited size. Stops reading, which closes the connection, as soon as the body is longer.

@param body The body of a response.
@param maximumBytes Maximum size of the body in bytes.
@param onPart Called with the arrival of each part.
@throws {Error} With `tooLongCode` if the body is longer.
*/
export const readBody = async (
	body: AsyncIterable<Uint8Array>,
	maximumBytes: number,
	onPart: () => void = () => undefined,
): Promise<Buffer> => {
	const collector = createByteCollector();
	for await (const part of body) {
		onPart();
		collector.add(part);
		if (collector.size() > maximumBytes) {
			throw Object.assign(
				new Error(`response is longer than ${maximumBytes} bytes`),
				{code: tooLongCode},
			);
		}
	}

	return collector.bytes();
};
