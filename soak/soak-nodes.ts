/**
Nodes of a soak test: processes that are suspended, killed, stopped and restarted.
*/
import {readFileSync} from 'node:fs';
import {startProcess, type Process} from '../stand-ins/child-process.ts';

/**
Time span in which a node was suspended or restarted, in milliseconds of the checker's clock.
*/
export type Disturbance = {
	readonly node: number;
	readonly from: number;
	until: number;
	/**
	Whether the node was stopped by SIGTERM.
	*/
	readonly isStop: boolean;
};

/**
Controls the nodes of a soak test and records their disturbances.
*/
export type SoakNodes = {
	readonly callerAddresses: readonly string[];
	readonly disturbances: readonly Disturbance[];
	pause(node: number): void;
	resume(node: number): void;
	/**
	Ends a node by a signal and restarts it `afterMs` milliseconds after its exit.
	*/
	restart(
		node: number,
		signal: 'SIGKILL' | 'SIGTERM',
		afterMs: number,
	): Promise<void>;
	/**
	Returns the largest amount of memory that a running node has taken, in MB.
	*/
	peakMemoryMb(): number;
	stop(): Promise<void>;
};

/**
Binary, addresses and zones of the nodes.
*/
export type SoakNodesOptions = {
	readonly binary: string;
	readonly network: string;
	readonly nodes: number;
	readonly zones: readonly string[];
	readonly registryAddress: string;
	readonly logFolder: string;
};

const callerPort = 8000;
const peerPort = 8001;
const drainMs = 3000;

/**
Starts nodes in the zones of one region.
*/
export const startSoakNodes = ({
	binary,
	network,
	nodes,
	zones,
	registryAddress,
	logFolder,
}: SoakNodesOptions): SoakNodes => {
	const disturbances: Disturbance[] = [];
	const hostOf = (node: number) => `${network}.${node + 1}`;
	const callerAddresses = Array.from(
		{length: nodes},
		(_, node) => `${hostOf(node)}:${callerPort}`,
	);
	const seeds = Array.from(
		{length: Math.min(nodes, 3)},
		(_, node) => `${hostOf(nodes - 1 - node)}:${peerPort}`,
	);

	const start = (node: number): Process =>
		startProcess({
			name: `node-${node}`,
			address: callerAddresses[node]!,
			command: [
				binary,
				'gateway',
				`--node-id=node-${node}`,
				`--availability-zone=${zones[node % zones.length]!}`,
				`--zones=${zones.map((zone) => `${zone}=upland`).join(',')}`,
				`--caller-address=${callerAddresses[node]!}`,
				`--peer-address=${hostOf(node)}:${peerPort}`,
				`--seed-peers=${seeds.join(',')}`,
				`--registry-address=${registryAddress}`,
				`--drain-timeout-ms=${drainMs}`,
			],
			logFolder,
		});

	const processes = Array.from({length: nodes}, (_, node) => start(node));
	const busy = new Set<number>();

	const begin = (node: number, isStop = false): Disturbance => {
		const disturbance = {
			node,
			from: performance.now(),
			until: Infinity,
			isStop,
		};
		disturbances.push(disturbance);
		return disturbance;
	};

	return {
		callerAddresses,
		disturbances,
		pause(node) {
			if (busy.has(node)) {
				return;
			}

			busy.add(node);
			begin(node);
			processes[node]!.child.kill('SIGSTOP');
		},
		resume(node) {
			const open = disturbances.findLast(
				(each) => each.node === node && each.until === Infinity,
			);
			if (!open || !busy.has(node)) {
				return;
			}

			processes[node]!.child.kill('SIGCONT');
			open.until = performance.now();
			busy.delete(node);
		},
		async restart(node, signal, afterMs) {
			if (busy.has(node)) {
				return;
			}

			busy.add(node);
			const disturbance = begin(node, signal === 'SIGTERM');
			processes[node]!.child.kill(signal);
			await processes[node]!.exited;
			await new Promise((resolve) => {
				setTimeout(resolve, afterMs);
			});
			processes[node] = start(node);
			disturbance.until = performance.now();
			busy.delete(node);
		},
		peakMemoryMb: () =>
			Math.max(...processes.map(({child}) => peakMemoryMbOf(child.pid))),
		async stop() {
			for (const {child} of processes) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}

			await Promise.all(processes.map(async ({exited}) => exited));
		},
	};
};

const kilobytesPerMb = 1024;

// The peak of the resident memory, as the kernel states it; 0 for a process that has ended.
const peakMemoryMbOf = (processId: number | undefined): number => {
	try {
		const status = readFileSync(`/proc/${processId}/status`, 'utf8');
		const kilobytes = /^VmHWM:\s+(?<kilobytes>\d+)/mv.exec(status)?.groups
			?.kilobytes;
		return Number(kilobytes ?? 0) / kilobytesPerMb;
	} catch {
		return 0;
	}
};
