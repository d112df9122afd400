import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {eventually} from '../../stand-ins/eventually.ts';
import {send, type Received, type RequestKind} from './caller.ts';
import type {GatewayWorld} from './world.ts';

const clerksKey = 'example-key-assembly-clerks';

When(
	'{int} {word} request(s) is/are sent at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		node: string,
	) {
		await this.sendMany(count, kind, node);
	},
);

When(
	'{int} {word} request(s) with residency {string} is/are sent at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		residency: string,
		node: string,
	) {
		await this.sendMany(count, kind, node, {residency});
	},
);

When(
	'{int} {word} request(s) of the clerks is/are sent at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		node: string,
	) {
		await this.sendMany(count, kind, node, {key: clerksKey});
	},
);

When(
	'{int} {word} request(s) of the clerks with residency {string} is/are sent at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		residency: string,
		node: string,
	) {
		await this.sendMany(count, kind, node, {key: clerksKey, residency});
	},
);

When(
	'{int} {word} request(s) with labels {string} is/are sent at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		labels: string,
		node: string,
	) {
		await this.sendMany(count, kind, node, {labels});
	},
);

When(
	'{int} {word} request(s) is/are sent at {string} with {int} ms to answer',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		node: string,
		deadlineMs: number,
	) {
		await this.sendMany(count, kind, node, {deadlineMs});
	},
);

Given(
	'{int} {word} request(s) of {int} tokens is/are under way at {string}',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		tokens: number,
		node: string,
	) {
		this.pending.push(
			...Array.from({length: count}, async () =>
				this.send(kind, node, {tokens}),
			),
		);
		await sleep(300);
	},
);

When(
	'{int} {word} request(s) at {string} hang(s) up after {int} ms',
	async function (
		this: GatewayWorld,
		count: number,
		kind: RequestKind,
		node: string,
		hangUpAfterMs: number,
	) {
		await this.sendMany(count, kind, node, {hangUpAfterMs, tokens: 400});
	},
);

When('the requests under way have ended', async function (this: GatewayWorld) {
	this.latest = await Promise.all(this.pending);
	this.pending = [];
});

const describe = (received: readonly Received[]): string =>
	received
		.map(
			({result, outcome, region, requestId}) =>
				`${result}/${outcome}/${region}/${requestId}`,
		)
		.join(' ');

Then('every answer is complete', function (this: GatewayWorld) {
	assert.ok(this.latest.length > 0);
	assert.ok(
		this.latest.every(({result}) => result === 'complete'),
		describe(this.latest),
	);
});

Then(
	'every answer is complete or an explicit error',
	function (this: GatewayWorld) {
		assert.ok(
			this.latest.every(({result}) => result !== 'cut-short'),
			describe(this.latest),
		);
	},
);

Then(
	'every answer came from region {string}',
	function (this: GatewayWorld, region: string) {
		assert.ok(
			this.latest.every((one) => one.region === region),
			describe(this.latest),
		);
	},
);

Then(
	'no answer came from region {string}',
	function (this: GatewayWorld, region: string) {
		assert.ok(
			this.latest.every((one) => one.region !== region),
			describe(this.latest),
		);
	},
);

Then(
	'every answer is the error {string} with outcome {string}',
	function (this: GatewayWorld, kind: string, outcome: string) {
		assert.ok(this.latest.length > 0);
		assert.ok(
			this.latest.every(
				(one) => one.result === kind && one.outcome === outcome,
			),
			describe(this.latest),
		);
	},
);

Then(
	'every answer has outcome {string}',
	function (this: GatewayWorld, outcome: string) {
		assert.ok(
			this.latest.every((one) => one.outcome === outcome),
			describe(this.latest),
		);
	},
);

Then(
	'no answer is the error {string}',
	function (this: GatewayWorld, kind: string) {
		assert.ok(
			this.latest.every((one) => one.result !== kind),
			describe(this.latest),
		);
	},
);

Then(
	'every answer came within {int} ms',
	function (this: GatewayWorld, bound: number) {
		const slowest = Math.max(...this.latest.map(({elapsedMs}) => elapsedMs));
		assert.ok(
			slowest <= bound,
			`slowest took ${slowest} ms; ${describe(this.latest)}`,
		);
	},
);

Then('every answer says when to come back', function (this: GatewayWorld) {
	assert.ok(
		this.latest.every(({retryAfter}) => retryAfter !== undefined),
		describe(this.latest),
	);
});

Then(
	'every answer names other entry VMs than {string}',
	function (this: GatewayWorld, node: string) {
		const entry = this.entryOf(node);
		assert.ok(
			this.latest.every(
				({entryVms}) => entryVms.length > 0 && !entryVms.includes(entry),
			),
		);
	},
);

Then(
	'at least {int} answer(s) is/are complete',
	function (this: GatewayWorld, count: number) {
		const complete = this.latest.filter(
			({result}) => result === 'complete',
		).length;
		assert.ok(complete >= count, `${complete}: ${describe(this.latest)}`);
	},
);

Given(
	'a request id issued by {string}',
	async function (this: GatewayWorld, node: string) {
		const answer = await request(`${this.entryOf(node)}/v1/entry-vms`);
		this.requestId = (
			(await answer.body.json()) as {requestId: string}
		).requestId;
	},
);

When(
	'a {word} request with that id is sent at {string}',
	async function (this: GatewayWorld, kind: RequestKind, node: string) {
		this.latest = [
			await this.send(kind, node, {
				requestId: this.requestId,
				prompt: 'the same request',
			}),
		];
	},
);

When(
	'a {word} request with that id is sent at {string} with {int} ms to answer',
	async function (
		this: GatewayWorld,
		kind: RequestKind,
		node: string,
		deadlineMs: number,
	) {
		this.latest = [
			await this.send(kind, node, {
				requestId: this.requestId,
				prompt: 'the same request',
				deadlineMs,
			}),
		];
	},
);

Given(
	'a {word} request with that id is under way at {string}',
	async function (this: GatewayWorld, kind: RequestKind, node: string) {
		this.pending.push(
			this.send(kind, node, {
				requestId: this.requestId,
				prompt: 'the same request',
			}),
		);
		await sleep(300);
	},
);

When(
	'{int} copies of a {word} request with that id are sent at once at {string} and {string}',
	async function (
		this: GatewayWorld,
		copies: number,
		kind: RequestKind,
		one: string,
		other: string,
	) {
		const nodes = Array.from({length: copies}, (_, index) =>
			index % 2 === 0 ? one : other,
		);
		this.latest = await Promise.all(
			nodes.map(async (node) =>
				this.send(kind, node, {
					requestId: this.requestId,
					prompt: 'the same request',
				}),
			),
		);
	},
);

const runsOfId = async (world: GatewayWorld): Promise<number> => {
	const counts = await world.counts();
	let runs = 0;
	for (const {begun} of counts) {
		runs += begun[world.requestId!] ?? 0;
	}

	return runs;
};

Then(
	'that id ran {int} time(s)',
	async function (this: GatewayWorld, expected: number) {
		assert.equal(await runsOfId(this), expected);
	},
);

Then(
	'that id ran at most {int} time(s)',
	async function (this: GatewayWorld, most: number) {
		assert.ok((await runsOfId(this)) <= most);
	},
);

Then(
	'every caller of that id got the same answer',
	function (this: GatewayWorld) {
		const texts = new Set(
			this.received
				.filter(({requestId}) => requestId === this.requestId)
				.map(({text}) => text),
		);
		assert.equal(texts.size, 1);
	},
);

/**
The mix of the users: whole and streamed drafts, bound ones, ones that may run once, pages and filings.
*/
const mix: ReadonlyArray<{
	readonly kind: RequestKind;
	readonly residency?: string;
}> = [
	{kind: 'whole'},
	{kind: 'streamed'},
	{kind: 'streamed', residency: 'abuja'},
	{kind: 'whole', residency: 'ibadan,port-harcourt'},
	{kind: 'not-repeatable'},
	{kind: 'page'},
	{kind: 'filing'},
];

Given('a mixed load runs at every node', function (this: GatewayWorld) {
	this.isLoadOn = true;
	const worker = async (node: string, offset: number) => {
		for (let turn = offset; this.isLoadOn; turn += 1) {
			const {kind, residency} = mix[turn % mix.length]!;
			this.received.push(
				await send({
					kind,
					residency,
					entry: this.entryOf(node),
					deadlineMs: 8000,
				}),
			);
			await sleep(20);
		}
	};

	const workers = [...this.deployment.nodes.keys()].flatMap((node) =>
		[0, 2, 4].map(async (offset) => worker(node, offset)),
	);
	this.load = Promise.all(workers).then(() => undefined);
});

When('the load stops', async function (this: GatewayWorld) {
	this.isLoadOn = false;
	await this.load;
});

Then(
	'at least {int} % of the load was answered',
	function (this: GatewayWorld, share: number) {
		const complete = this.received.filter(
			({result}) => result === 'complete',
		).length;
		const reached = (100 * complete) / this.received.length;
		const kinds = Object.entries(
			Object.groupBy(this.received, ({result}) => result),
		).map(([kind, list]) => `${kind}: ${list!.length}`);
		this.log(`${this.received.length} requests, ${kinds.join(', ')}`);
		assert.ok(reached >= share, `${reached.toFixed(1)} %: ${kinds.join(', ')}`);
	},
);

Then('no caller was wronged', async function (this: GatewayWorld) {
	await this.audit();
});

When('I note the time', function (this: GatewayWorld) {
	this.mark = Date.now();
});

Then(
	'{string} began no request that was sent more than {int} seconds after',
	async function (this: GatewayWorld, id: string, seconds: number) {
		const counts = await this.counts();
		const {begun} = counts.find(({server}) => server === id)!;
		const late = this.received.filter(
			({requestId, sentAt}) =>
				begun[requestId] !== undefined && sentAt > this.mark + seconds * 1000,
		);
		assert.deepEqual(
			late.map(({requestId}) => requestId),
			[],
		);
	},
);

Then(
	'{string} has begun requests',
	async function (this: GatewayWorld, id: string) {
		const counts = await this.counts();
		assert.ok(
			Object.keys(counts.find(({server}) => server === id)!.begun).length > 0,
		);
	},
);

Then(
	'within {int} seconds no node has a request in flight',
	async function (this: GatewayWorld, seconds: number) {
		await eventually(async () => {
			for (const name of this.deployment.nodes.keys()) {
				const {inFlight} = (await this.deployment.administration(
					name,
					'ready',
				)) as {readonly inFlight: number};
				assert.equal(inFlight, 0, name);
			}
		}, seconds * 1000);
	},
);

Then(
	'within {int} seconds no backend server runs anything',
	async function (this: GatewayWorld, seconds: number) {
		await eventually(async () => {
			const counts = await this.counts();
			assert.ok(counts.every(({running}) => running === 0));
		}, seconds * 1000);
	},
);
