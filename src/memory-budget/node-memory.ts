import {totalmem} from 'node:os';
import process from 'node:process';

/**
Part of a node's memory that the bodies of requests may take. The rest is for the runtime, what nodes know of each other and of backend
servers, responses, and memory that was released and not collected yet.
*/
export const bodiesPart = 0.2;

const bytesPerMegabyte = 1_048_576;

/**
Returns how much of the memory of a node bodies may take, in bytes.

@param memoryMb Memory of the node in MB; that of its control group, or of the machine, if undefined.
*/
export const bodyBytesOf = (memoryMb: number | undefined): number =>
	bodiesPart *
	(memoryMb === undefined ? availableBytes() : memoryMb * bytesPerMegabyte);

const availableBytes = (): number => {
	const constrained = process.constrainedMemory();
	const total = totalmem();
	return constrained > 0 ? Math.min(constrained, total) : total;
};
