import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import type {Address} from '../../src/shared/index.ts';

/**
A node of the platform that runs as a process of its own.
*/
export type NodeProcess = {
	/**
	Everything that the process has written.
	*/
	output(): string;
	/**
	Exit code, or the signal that ended the process; undefined while it runs.
	*/
	ending(): number | string | undefined;
	signal(name: NodeJS.Signals): void;
	/**
	Kills the process if it still runs, and removes its files.
	*/
	close(): Promise<void>;
};

/**
Ports of a node, by the name of their use in log lines.
*/
export const nodePorts = {
	callers: 8144,
	readiness: 8140,
	seeds: 8146,
	directory: 8143,
	metrics: 9464,
	nodes: 7660,
} as const;

/**
Starts a node of the only zone of a deployment.

@param ip The IP address of all its sockets.
@param storeAddress Where it reads the registry.
@param name The name by which other nodes know it.
@param descriptors File descriptors that it may have; those of this process if omitted.
*/
export const startNodeProcess = (
	ip: string,
	storeAddress: Address,
	name = 'node-1',
	descriptors?: number,
): NodeProcess => {
	const folder = mkdtempSync(path.join(tmpdir(), 'quillford-node-'));
	const settings = path.join(folder, 'node.conf');
	const fields = {
		node_name: name,
		ip,
		zone: 'zone-a',
		'zones.zone-a': 'region-a',
		'listen.front': `${ip}:${nodePorts.callers}`,
		'listen.ready': `${ip}:${nodePorts.readiness}`,
		'listen.control': `${ip}:${nodePorts.seeds}`,
		'listen.directory': `${ip}:${nodePorts.directory}`,
		internal_ports: `${nodePorts.nodes},7675`,
		'platform.address': storeAddress,
		'bounds.grace_s': '2',
	};
	writeFileSync(
		settings,
		Object.entries(fields)
			.map(([field, value]) => `${field}=${value}\n`)
			.join(''),
	);
	const limit = descriptors === undefined ? '' : `ulimit -n ${descriptors};`;
	const child = spawn(
		'sh',
		['-c', `${limit} exec dist/quillford platform-node`],
		{
			env: {PATH: process.env.PATH, QUILLFORD_CONFIG: settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		},
	);
	let output = '';
	let ending: number | string | undefined;
	const collect = (chunk: Uint8Array) => {
		output += chunk.toString();
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	const exited = new Promise<void>((resolve) => {
		child.once('exit', (code, signal) => {
			ending = signal ?? code ?? undefined;
			resolve();
		});
	});
	return {
		output: () => output,
		ending: () => ending,
		signal(signalName) {
			child.kill(signalName);
		},
		async close() {
			child.kill('SIGKILL');
			await exited;
			rmSync(folder, {recursive: true, force: true});
		},
	};
};

/**
Returns the status of a GET request; 0 if there is no answer.
*/
export const statusAt = async (
	address: Address,
	target: string,
	headers: Readonly<Record<string, string>> = {},
): Promise<number> => {
	try {
		const {statusCode, body} = await request(`http://${address}${target}`, {
			headers,
			headersTimeout: 2000,
		});
		await body.dump();
		return statusCode;
	} catch {
		return 0;
	}
};
