/**
Nodes of a soak test: processes that are suspended, killed, stopped and restarted.
*/
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
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
	/**
	Times at which all nodes were killed, in milliseconds of the checker's clock.
	*/
	readonly wholeLosses: readonly number[];
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
	Kills all nodes at once and starts them again. Nodes that are being restarted by themselves are left alone.
	*/
	restartAll(wholeReturn: WholeReturn): Promise<void>;
	/**
	Returns the largest amount of memory that a node has taken, in MB, also one that has ended since.
	*/
	peakMemoryMb(): number;
	stop(): Promise<void>;
};

/**
How all nodes are killed and return.
*/
export type WholeReturn = {
	/**
	Time between the exit of the nodes and their start, in milliseconds.
	*/
	readonly downMs: number;
	/**
	`early-start`: the nodes are started before their predecessors are killed. `ports-in-use`: another socket holds a port of every
	second node for a time after its start.
	*/
	readonly how: 'clean' | 'early-start' | 'ports-in-use';
	/**
	Time between the starts of two nodes, zone after zone, in milliseconds.
	*/
	readonly startGapMs: number;
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
Memory that a node may take, in MB: that of the users' smallest VMs.
*/
export const maximumMemoryMb = 350;

// Time for which a port stays in use after the start of its node, in milliseconds.
const portHeldMs = 1500;

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
				`--memory-mb=${maximumMemoryMb}`,
			],
			logFolder,
		});

	const processes = Array.from({length: nodes}, (_, node) => start(node));
	let peakMb = 0;
	// A process takes the record of its peak with it.
	const recordPeak = ({child}: Process) => {
		peakMb = Math.max(peakMb, peakMemoryMbOf(child.pid));
	};

	const busy = new Set<number>();
	const restarting = new Set<number>();
	const wholeLosses: number[] = [];

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

	const holdPort = async (node: number): Promise<Server> => {
		const holder = createServer((socket) => {
			socket.destroy();
		});
		holder.listen(node % 4 === 0 ? callerPort : peerPort, hostOf(node));
		await once(holder, 'listening');
		return holder;
	};

	const endFreeze = (node: number) => {
		const open = disturbances.findLast(
			(each) => each.node === node && each.until === Infinity,
		);
		if (open) {
			open.until = performance.now();
		}
	};

	// The first node of each zone starts after all nodes of the zones before it.
	const startOrderOf = (node: number): number =>
		(node % zones.length) * Math.ceil(nodes / zones.length) +
		Math.floor(node / zones.length);

	const killAndStart = async (
		node: number,
		{downMs, how, startGapMs}: WholeReturn,
		onKill: () => void,
	): Promise<void> => {
		const predecessor = processes[node]!;
		const startDelayMs = startOrderOf(node) * startGapMs;
		if (how === 'early-start') {
			processes[node] = start(node);
			await sleep(downMs);
			recordPeak(predecessor);
			predecessor.child.kill('SIGKILL');
			onKill();
			return;
		}

		recordPeak(predecessor);
		predecessor.child.kill('SIGKILL');
		onKill();
		await predecessor.exited;
		const isHeld = how === 'ports-in-use' && node % 2 === 0;
		const holder = isHeld ? await holdPort(node) : undefined;
		await sleep(downMs + startDelayMs);
		processes[node] = start(node);
		if (!holder) {
			return;
		}

		await sleep(portHeldMs);
		holder.close();
	};

	return {
		callerAddresses,
		disturbances,
		wholeLosses,
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
			restarting.add(node);
			const disturbance = begin(node, signal === 'SIGTERM');
			recordPeak(processes[node]!);
			processes[node]!.child.kill(signal);
			await processes[node]!.exited;
			await new Promise((resolve) => {
				setTimeout(resolve, afterMs);
			});
			processes[node] = start(node);
			disturbance.until = performance.now();
			restarting.delete(node);
			busy.delete(node);
		},
		async restartAll(wholeReturn) {
			let lastKillAt = performance.now();
			const chosen = processes
				.keys()
				.filter((node) => !restarting.has(node))
				.toArray();
			await Promise.all(
				chosen.map(async (node) => {
					endFreeze(node);
					busy.add(node);
					restarting.add(node);
					const disturbance = begin(node);
					await killAndStart(node, wholeReturn, () => {
						lastKillAt = performance.now();
					});
					disturbance.until = performance.now();
					restarting.delete(node);
					busy.delete(node);
				}),
			);
			wholeLosses.push(lastKillAt);
		},
		peakMemoryMb() {
			for (const each of processes) {
				recordPeak(each);
			}

			return peakMb;
		},
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
