/* eslint-disable camelcase, jsdoc/require-param-type -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// Starts the project's nodes with the commands of the deploy file, and ends them.
import {spawn} from 'node:child_process';
import {
	createWriteStream,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '..');

/**
The command of the deploy file.
*/
const runCommand = () =>
	/^run = "(?<run>.*)"$/mv
		.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))
		.groups.run.split(' ');

/**
Returns a function that gives loopback addresses which no other run is likely to use.
*/
export const createAddresses = () => {
	const second = 1 + (process.pid % 250);
	const third = Math.floor(Math.random() * 250);
	let last = 1;
	return () => {
		last += 1;
		return `127.${second}.${third}.${last}`;
	};
};

const settingsOf = (node, deployment) => {
	const {zones, store, bounds, seeds} = deployment;
	const {name, ip, zone} = node;
	const fields = {
		node_name: name,
		role: 'node',
		machine_class: 'edge',
		serves: 'edge,directory,control_plane',
		ip,
		zone,
		region: zones[zone],
		...Object.fromEntries(
			Object.entries(zones).map(([each, region]) => [`zones.${each}`, region]),
		),
		'listen.front': `${ip}:8144`,
		'listen.ready': `${ip}:8140`,
		'listen.control': `${ip}:8146`,
		'listen.directory': `${ip}:8143`,
		internal_ports: '7660,7675',
		seeds: seeds.join(','),
		bootstrap: 'true',
		'limits.cpu_share': '0.675',
		'limits.cores': '1',
		'limits.memory_mb': '350',
		'limits.max_fds': '4100',
		'limits.link_mbps': '1000.0',
		'limits.disk_mb': '0',
		discovery: 'platform',
		entry: 'directory',
		heartbeat_ms: '1200',
		'fault_tolerance.machines': '2',
		'fault_tolerance.zones': '1',
		'fault_tolerance.regions': '1',
		...Object.fromEntries(
			Object.entries(bounds).map(([each, bound]) => [`bounds.${each}`, bound]),
		),
		'platform.address': store.address,
		'platform.form': 'read',
		'platform.reads_per_s': '2000',
		'platform.history_s': '20',
		'platform.value_bytes': '1048576',
	};
	return Object.entries(fields)
		.map(([field, value]) => `${field}=${value}\n`)
		.join('');
};

/**
Bounds that the three small deployments share.
*/
export const commonBounds = {
	seed_lag_s: 3,
	reuse_after_s: 2,
	contact_ms: 5000,
	ack_ms: 6000,
	catch_up_s: 4,
	drain_ms: 3000,
	grace_s: 8,
	loss_slack_ms: 200,
	config_apply_ms: 3000,
	downgrade_ms: 250,
	max_stretch_ms: 8000,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	retry_slack: 58,
	cold_overrun: 1.5,
	cold_slack: 3,
	evacuate_ms: 5000,
	recovery_s: 12,
	pass_ms: 600,
	retry_after_s: 10,
	ttl_max_s: 5,
};

const statusOf = async (address, target) =>
	new Promise((resolve) => {
		const call = request(
			`http://${address}${target}`,
			{timeout: 500},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		call.on('timeout', () => {
			call.destroy();
		});
		call.on('error', () => {
			resolve(0);
		});
		call.end();
	});

/**
Starts nodes.

@param options
@param options.nodes Name, address and zone of each.
*/
export const startNodes = async (options) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'quillford-review-'));
	const [program, ...args] = runCommand();
	const deployment = {
		...options,
		bounds: {...commonBounds, ...options.bounds},
		seeds: options.nodes.slice(0, 3).map(({ip}) => `${ip}:8146`),
	};
	const start = (node) => {
		const settings = path.join(folder, `${node.name}.conf`);
		writeFileSync(settings, settingsOf(node, deployment));
		const child = spawn(path.join(root, program), args, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				QUILLFORD_CONFIG: settings,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(folder, `${node.name}.log`), {
			flags: 'a',
		});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		const exited = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				resolve(signal ?? code);
			});
		});
		return {...node, child, exited, front: `${node.ip}:8144`, settings};
	};

	const nodes = options.nodes.map((node) => start(node));
	process.on('exit', () => {
		for (const {child} of nodes) {
			child.kill('SIGKILL');
		}
	});
	const areReady = async () => {
		const statuses = await Promise.all(
			nodes.map(({ip}) => statusOf(`${ip}:8140`, '/readiness')),
		);
		return statuses.every((status) => status === 200);
	};

	for (let tries = 0; !(await areReady()); tries += 1) {
		if (tries > 100) {
			throw new Error('the nodes did not become ready');
		}

		await sleep(100);
	}

	return {
		nodes,
		folder,
		async end() {
			for (const {child} of nodes) {
				child.kill('SIGKILL');
			}

			await Promise.all(nodes.map(({exited}) => exited));
			rmSync(folder, {recursive: true, force: true});
		},
	};
};
