// What control costs a real node that serves nothing, against the number of nodes.
import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import type {ConfigurationDocument} from '../stand-ins/configuration-document.ts';
import {startDeployment, type Deployment} from '../stand-ins/deployment.ts';
import {printTable, type Row} from './table.ts';

const seconds = 20;

type Usage = {
	readonly rss: number;
	readonly heapUsed: number;
	readonly processorMicroseconds: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
};

const usages = async (deployment: Deployment): Promise<readonly Usage[]> =>
	Promise.all(
		deployment.nodes
			.keys()
			.map(
				async (name) =>
					(await deployment.administration(name, 'usage')) as Usage,
			),
	);

const meanOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

const measure = async (nodesPerZone: number): Promise<Row> => {
	const document = parse(
		readFileSync('examples/ajoke/configuration.yaml', 'utf8'),
	) as ConfigurationDocument;
	const deployment = await startDeployment({
		document,
		nodesPerZone,
		delayMs: 10,
		stepMs: 4,
		prefillMs: 10,
	});
	try {
		const before = await usages(deployment);
		await new Promise((resolve) => {
			setTimeout(resolve, seconds * 1000);
		});
		const after = await usages(deployment);
		const rate = (figure: keyof Usage) =>
			meanOf(
				after.map((usage, index) => usage[figure] - before[index]![figure]),
			) / seconds;
		return {
			benchmark: 'control',
			nodes: 3 * nodesPerZone,
			corePercent: rate('processorMicroseconds') / 10_000,
			heartbeatBytesSentPerSecond: rate('sentBytes'),
			heartbeatBytesReceivedPerSecond: rate('receivedBytes'),
			residentMegabytes: meanOf(after.map(({rss}) => rss)) / 1_048_576,
			heapMegabytes: meanOf(after.map(({heapUsed}) => heapUsed)) / 1_048_576,
		};
	} finally {
		await deployment.stop();
	}
};

/**
Measures idle nodes as processes of their own.
*/
export const measureControl = async (): Promise<readonly Row[]> => {
	// One after the other: each deployment takes its share of the machine.
	const rows = await Array.fromAsync([1, 3, 9], async (nodesPerZone) =>
		measure(nodesPerZone),
	);

	printTable(rows);
	return rows;
};
