import {readFileSync} from 'node:fs';

const ticksPerSecond = 100;

/**
Seconds of processor time of a process so far, from the system's figures.
*/
export const processorSeconds = (pid: number): number => {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// What follows the name, which may hold spaces; fields 14 and 15 of the line are the two times.
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
};

/**
Megabytes of memory that a process holds, from the system's figures.
*/
export const residentMegabytes = (pid: number): number => {
	const text = readFileSync(`/proc/${pid}/status`, 'utf8');
	return (
		Number(/VmRSS:\s+(?<kilobytes>\d+)/v.exec(text)?.groups?.kilobytes ?? 0) /
		1024
	);
};
