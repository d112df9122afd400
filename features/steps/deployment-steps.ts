import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {administrationKey} from '../../stand-ins/node-plans.ts';
import {eventually} from '../../stand-ins/eventually.ts';
import {readCounts} from './auditor.ts';
import type {GatewayWorld} from './world.ts';

Given('a deployment', async function (this: GatewayWorld) {
	await this.start(2);
});

Given(
	'a deployment with {int} nodes in each zone',
	async function (this: GatewayWorld, nodes: number) {
		await this.start(nodes);
	},
);

When(
	'node {string} is killed',
	async function (this: GatewayWorld, name: string) {
		const node = this.deployment.nodes.get(name)!;
		node.child.kill('SIGKILL');
		await node.exited;
	},
);

When('node {string} is frozen', function (this: GatewayWorld, name: string) {
	this.deployment.nodes.get(name)!.child.kill('SIGSTOP');
});

When('node {string} is thawed', function (this: GatewayWorld, name: string) {
	this.deployment.nodes.get(name)!.child.kill('SIGCONT');
});

When(
	'node {string} is started again',
	async function (this: GatewayWorld, name: string) {
		await this.deployment.startNode(name);
	},
);

When(
	'node {string} is told to stop',
	function (this: GatewayWorld, name: string) {
		this.deployment.nodes.get(name)!.child.kill('SIGTERM');
	},
);

When(
	'node {string} is drained',
	async function (this: GatewayWorld, name: string) {
		const {administrationAddress} = this.deployment.nodes.get(name)!;
		const answer = await request(`http://${administrationAddress}/drain`, {
			method: 'POST',
			headers: {authorization: `Bearer ${administrationKey}`},
		});
		assert.equal(answer.statusCode, 202);
		await answer.body.dump();
	},
);

Then(
	'node {string} ends well within {int} seconds',
	async function (this: GatewayWorld, name: string, seconds: number) {
		const code = await Promise.race([
			this.deployment.nodes.get(name)!.exited,
			sleep(seconds * 1000, 'late'),
		]);
		assert.equal(code, 0);
	},
);

When(
	'backend server {string} is killed',
	async function (this: GatewayWorld, id: string) {
		this.buriedCounts.push(await readCounts(this.deployment, id));
		const server = this.deployment.backendServers.get(id)!;
		server.child.kill('SIGKILL');
		await server.exited;
		this.deployment.backendServers.delete(id);
	},
);

When(
	'backend server {string} is frozen',
	function (this: GatewayWorld, id: string) {
		this.deployment.backendServers.get(id)!.child.kill('SIGSTOP');
	},
);

When(
	'backend server {string} is thawed',
	function (this: GatewayWorld, id: string) {
		this.deployment.backendServers.get(id)!.child.kill('SIGCONT');
	},
);

When(
	'backend server {string} gets the fault {string}',
	async function (this: GatewayWorld, id: string, fault: string) {
		await this.deployment.control(
			this.deployment.backendServers.get(id)!.address,
			'faults',
			fault,
		);
	},
);

When(
	'every model server gets the fault {string}',
	async function (this: GatewayWorld, fault: string) {
		for (const [id, {address}] of this.deployment.backendServers) {
			if (id.startsWith('quill-scribes')) {
				await this.deployment.control(address, 'faults', fault);
			}
		}
	},
);

When(
	'the VM list says that {string} is leaving',
	async function (this: GatewayWorld, id: string) {
		await this.deployment.setVms((vm) =>
			vm.id === id ? {...vm, state: 'leaving'} : vm,
		);
	},
);

When(
	'the platform gets the fault {string}',
	async function (this: GatewayWorld, fault: string) {
		await this.deployment.control(
			this.deployment.platformAddress,
			'faults',
			fault,
		);
	},
);

const linksOf = (world: GatewayWorld, zone: string, other: string) =>
	[...world.deployment.relays]
		.filter(([name]) => {
			const [from, to] = name.split('>') as [string, string];
			return (
				(from === zone && (to === other || to.startsWith(`${other}-`))) ||
				(from === other && to.startsWith(`${zone}-`))
			);
		})
		.map(([, relay]) => relay);

When(
	'zone {string} is cut from {string}',
	function (this: GatewayWorld, zone: string, other: string) {
		for (const relay of linksOf(this, zone, other)) {
			relay.cut();
		}
	},
);

When(
	'zone {string} is joined to {string} again',
	function (this: GatewayWorld, zone: string, other: string) {
		for (const relay of linksOf(this, zone, other)) {
			relay.heal();
		}
	},
);

When(
	'zone {string} is cut from everything',
	function (this: GatewayWorld, zone: string) {
		for (const other of [
			'abj-wuse',
			'ibd-bodija',
			'phc-transamadi',
			'platform',
		]) {
			for (const relay of linksOf(this, zone, other)) {
				relay.cut();
			}
		}
	},
);

When(
	'zone {string} is joined to everything again',
	function (this: GatewayWorld, zone: string) {
		for (const other of [
			'abj-wuse',
			'ibd-bodija',
			'phc-transamadi',
			'platform',
		]) {
			for (const relay of linksOf(this, zone, other)) {
				relay.heal();
			}
		}
	},
);

When('{int} milliseconds pass', async (milliseconds: number) => {
	await sleep(milliseconds);
});

When('{int} seconds pass', async (seconds: number) => {
	await sleep(seconds * 1000);
});

const memberStatus = async (
	world: GatewayWorld,
	viewer: string,
	name: string,
): Promise<string> => {
	const {members} = (await world.deployment.administration(
		viewer,
		'members',
	)) as {
		members: ReadonlyArray<{readonly id: string; readonly status: string}>;
	};
	return members.find(({id}) => id === name)?.status ?? 'unknown';
};

Then(
	'within {int} seconds node {string} sees node {string} as {string}',
	async function (
		this: GatewayWorld,
		seconds: number,
		viewer: string,
		name: string,
		status: string,
	) {
		await eventually(async () => {
			assert.equal(await memberStatus(this, viewer, name), status);
		}, seconds * 1000);
	},
);
