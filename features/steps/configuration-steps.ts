import assert from 'node:assert/strict';
import {When, Then} from '@cucumber/cucumber';
import {eventually} from '../../stand-ins/eventually.ts';
import type {GatewayWorld} from './world.ts';

const versionAt = async (
	world: GatewayWorld,
	node: string,
): Promise<number> => {
	const {version} = (await world.deployment.administration(
		node,
		'configuration',
	)) as {readonly version: number};
	return version;
};

When(
	'configuration version {int} is published',
	async function (this: GatewayWorld, version: number) {
		this.version = version - 1;
		await this.publishNext();
	},
);

When(
	'configuration version {int} is published with every policy for region label {string}',
	async function (this: GatewayWorld, version: number, label: string) {
		const [key, value] = label.split('=') as [string, string];
		this.version = version - 1;
		await this.publishNext((document) => {
			for (const policy of document.policies as Array<
				Record<string, unknown>
			>) {
				policy.regions = {matchLabels: {[key]: value}};
			}
		});
	},
);

When(
	'configuration version {int} is published in which the clerks may be served only in {string}',
	async function (this: GatewayWorld, version: number, region: string) {
		this.version = version - 1;
		await this.publishNext((document) => {
			for (const client of document.clients as Array<Record<string, unknown>>) {
				if (client.name !== 'assembly-clerks') {
					continue;
				}

				client.residency = [region];
				this.clerksResidency = [region];
			}
		});
	},
);

When(
	'configuration version {int} is published with a policy that prefers region {string}',
	async function (this: GatewayWorld, version: number, region: string) {
		this.version = version - 1;
		await this.publishNext((document) => {
			const policies = document.policies as unknown[];
			for (const entry of document.regions as Array<Record<string, unknown>>) {
				entry.labels = {name: entry.name};
			}

			policies.unshift({
				name: 'preferred',
				priority: 100,
				regions: {matchLabels: {name: region}},
				strategy: {kind: 'least-loaded'},
			});
		});
	},
);

When(
	'an invalid configuration version {int} is published',
	async function (this: GatewayWorld, version: number) {
		this.version = version;
		await this.deployment.publishText(
			JSON.stringify({version, regions: 'none'}),
		);
	},
);

When(
	'configuration version {int} of {int} bytes is published',
	async function (this: GatewayWorld, version: number, bytes: number) {
		this.version = version;
		const document = {...structuredClone(this.deployment.document), version};
		const text = JSON.stringify(document);
		// White space at the end is part of the value and changes nothing in it.
		await this.deployment.publishText(
			text + ' '.repeat(Math.max(0, bytes - text.length)),
		);
	},
);

Then(
	'within {int} seconds every node has configuration version {int}',
	async function (this: GatewayWorld, seconds: number, version: number) {
		await eventually(async () => {
			for (const name of this.deployment.nodes.keys()) {
				assert.equal(await versionAt(this, name), version, name);
			}
		}, seconds * 1000);
	},
);

Then(
	'within {int} seconds node {string} has configuration version {int}',
	async function (
		this: GatewayWorld,
		seconds: number,
		node: string,
		version: number,
	) {
		await eventually(async () => {
			assert.equal(await versionAt(this, node), version);
		}, seconds * 1000);
	},
);

Then(
	'node {string} has configuration version {int}',
	async function (this: GatewayWorld, node: string, version: number) {
		assert.equal(await versionAt(this, node), version);
	},
);

Then(
	'node {string} reports a refused configuration',
	async function (this: GatewayWorld, node: string) {
		await eventually(async () => {
			const {refusals} = (await this.deployment.administration(
				node,
				'configuration',
			)) as {readonly refusals: readonly unknown[]};
			assert.ok(refusals.length > 0);
		}, 10_000);
	},
);
