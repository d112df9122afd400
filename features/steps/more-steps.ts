import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {createSealer} from '../../src/peers/index.ts';
import {eventually} from '../../stand-ins/eventually.ts';
import {peerKey} from '../../stand-ins/node-plans.ts';
import type {RequestKind} from './caller.ts';
import type {GatewayWorld} from './world.ts';

type Refusal = {
	readonly kind: string | undefined;
	readonly isNotRun: boolean;
	readonly status: number;
};

let refusal: Refusal | undefined;

const forwardTo = async (
	address: string,
	envelope: unknown,
	key: string,
): Promise<Refusal> => {
	const text = Buffer.from(JSON.stringify(envelope)).toString('base64url');
	const answer = await request(`http://${address}/forward`, {
		method: 'POST',
		headers: {
			'content-type': 'application/octet-stream',
			'x-quillford-envelope': text,
			'x-quillford-seal': createSealer(key)
				.seal(Buffer.from(text))
				.toString('base64url'),
		},
		body: JSON.stringify({
			model: 'scribe-8b',
			messages: [{role: 'user', content: 'forwarded'}],
		}),
	});
	await answer.body.text();
	const kind = answer.headers['x-quillford-refusal'];
	return {
		kind: kind?.toString(),
		isNotRun: answer.headers['x-not-run'] !== undefined,
		status: answer.statusCode,
	};
};

const envelopeFor = () => ({
	purpose: 'serve',
	requestId: `check-${randomUUID()}`,
	attemptId: `captured.${randomUUID()}`,
	attempt: 1,
	clientName: 'organisers',
	policyName: 'default',
	serviceName: 'quill-scribes',
	model: 'scribe-8b',
	labels: {},
	homeRegion: 'abuja',
	priority: 5,
	remainingMs: 5000,
	isRepeatable: true,
	isStreaming: false,
	session: '',
	prefixKey: '',
	resumeFrom: 0,
	method: 'POST',
	url: '/v1/chat/completions',
	contentType: 'application/json',
	origin: 'ibd-bodija-1',
	originZone: 'ibd-bodija',
	configurationVersion: 1,
});

When(
	'a forged forward is sent to {string}',
	async function (this: GatewayWorld, node: string) {
		refusal = await forwardTo(
			this.deployment.nodes.get(node)!.peerAddress,
			envelopeFor(),
			'not-the-key-of-the-nodes',
		);
	},
);

When(
	'a captured forward is sent twice to {string}',
	async function (this: GatewayWorld, node: string) {
		const envelope = envelopeFor();
		const {peerAddress} = this.deployment.nodes.get(node)!;
		const first = await forwardTo(peerAddress, envelope, peerKey);
		assert.equal(first.status, 200);
		refusal = await forwardTo(peerAddress, envelope, peerKey);
	},
);

When(
	'a caller marks its own request as forwarded at {string}',
	async function (this: GatewayWorld, node: string) {
		const text = Buffer.from(JSON.stringify(envelopeFor())).toString(
			'base64url',
		);
		await this.sendMany(3, 'whole', node, {
			headers: {'x-quillford-envelope': text, 'x-quillford-seal': 'AAAA'},
		});
	},
);

Then('it is refused as {string}', (kind: string) => {
	assert.equal(refusal?.kind, kind);
});

Then(
	'the second is refused as {string} with an unknown outcome',
	(kind: string) => {
		assert.equal(refusal?.kind, kind);
		assert.equal(refusal?.isNotRun, false);
	},
);

// Nodes log each forwarded request that they receive; a request that was sent on by a
// receiver would show with a receiver as its origin.
Then('no request was forwarded more than once', function (this: GatewayWorld) {
	const hops = new Map<string, Set<string>>();
	for (const file of readdirSync(this.deployment.logFolder)) {
		const node = file.replace(/\.log$/v, '');
		if (this.deployment.nodes.has(node)) {
			const lines = readFileSync(
				path.join(this.deployment.logFolder, file),
				'utf8',
			).split('\n');
			for (const line of lines.filter((text) =>
				text.includes('forwarded request received'),
			)) {
				const {context} = JSON.parse(line) as {context: {attemptId: string}};
				const receivers = hops.get(context.attemptId) ?? new Set<string>();
				hops.set(context.attemptId, receivers.add(node));
			}
		}
	}

	const repeated = [...hops].filter(([, receivers]) => receivers.size > 1);
	assert.deepEqual(repeated, []);
});

Then(
	'at most {int} % of the load of {string} was served away',
	function (this: GatewayWorld, share: number, zone: string) {
		const entries = new Set(
			[...this.deployment.nodes.values()]
				.filter(({availabilityZone}) => availabilityZone === zone)
				.map(({address}) => `http://${address}`),
		);
		const home = this.deployment.document.regions.find(({availabilityZones}) =>
			availabilityZones.includes(zone),
		)!.name;
		const served = this.received.filter(
			({sending, result}) =>
				result === 'complete' &&
				sending.residency === undefined &&
				entries.has(sending.entry),
		);
		const away = served.filter(({region}) => region !== home);
		assert.ok(served.length > 0);
		assert.ok(
			(100 * away.length) / served.length <= share,
			`${away.length} of ${served.length}`,
		);
	},
);

// Requests that backend servers have begun so far.
const begunBy = async (world: GatewayWorld): Promise<number> => {
	const counts = await world.counts();
	return counts
		.flatMap(({begun}) => Object.values(begun))
		.reduce((sum, count) => sum + count, 0);
};

Given(
	'{int} {word} request(s) of {int} tokens bound to {string} is/are under way at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		tokens: number,
		residency: string,
		node: string,
	) {
		const before = await begunBy(this);
		this.pending.push(
			...Array.from({length: count}, async () =>
				this.send(kind, node, {tokens, residency}),
			),
		);
		// Not a fixed time: on a busy machine some would still be on their way to the node.
		await eventually(async () => {
			const begun = await begunBy(this);
			assert.ok(begun >= before + count, `${begun - before} of ${count}`);
		}, 10_000);
	},
);

Then(
	'{string} does not offer {string} as an entry VM',
	async function (this: GatewayWorld, asked: string, leaving: string) {
		const answer = await request(`${this.entryOf(asked)}/v1/entry-vms`);
		const {entryVms} = (await answer.body.json()) as {
			entryVms: readonly string[];
		};
		assert.ok(entryVms.length > 0);
		assert.ok(!entryVms.includes(this.entryOf(leaving)));
	},
);

Then(
	'{string} began nothing more than {int} seconds after',
	async function (this: GatewayWorld, id: string, seconds: number) {
		const {lastBegunAt} = (await this.deployment.control(
			this.deployment.backendServers.get(id)!.address,
			'counts',
		)) as {lastBegunAt: number};
		assert.ok(
			lastBegunAt <= this.mark + seconds * 1000,
			`${lastBegunAt - this.mark} ms after`,
		);
	},
);

Then(
	'node {string} or another reports a refused configuration',
	async function (this: GatewayWorld, node: string) {
		await eventually(async () => {
			const names = [node, ...this.deployment.nodes.keys()];
			const answers = await Promise.all(
				names.map(async (name) =>
					this.deployment.administration(name, 'configuration'),
				),
			);
			assert.ok(
				answers.some((answer) =>
					(answer as {refusals: ReadonlyArray<{reason: string}>}).refusals.some(
						({reason}) => reason === 'invalid',
					),
				),
			);
		}, 10_000);
	},
);

const remainingNodes = (world: GatewayWorld): readonly string[] =>
	[...world.deployment.nodes]
		.filter(
			([, {child}]) => child.exitCode === null && child.signalCode === null,
		)
		.map(([name]) => name);

Then(
	'within {int} seconds every remaining node has configuration version {int}',
	async function (this: GatewayWorld, seconds: number, version: number) {
		await eventually(async () => {
			for (const name of remainingNodes(this)) {
				const found = (await this.deployment.administration(
					name,
					'configuration',
				)) as {version: number};
				assert.equal(found.version, version, name);
			}
		}, seconds * 1000);
	},
);

Then(
	'within {int} seconds no remaining node has a request in flight',
	async function (this: GatewayWorld, seconds: number) {
		await eventually(async () => {
			for (const name of remainingNodes(this)) {
				const {inFlight} = (await this.deployment.administration(
					name,
					'ready',
				)) as {inFlight: number};
				assert.equal(inFlight, 0, name);
			}
		}, seconds * 1000);
	},
);
