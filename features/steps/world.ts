import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {
	After,
	setDefaultTimeout,
	setWorldConstructor,
	World,
} from '@cucumber/cucumber';
import {parse} from 'yaml';
import type {ConfigurationDocument} from '../../stand-ins/configuration-document.ts';
import {startDeployment, type Deployment} from '../../stand-ins/deployment.ts';
import {audit, readCounts, type ServerCounts} from './auditor.ts';
import {send, type Received, type RequestKind, type Sending} from './caller.ts';

const stepTimeoutMs = 90_000;

setDefaultTimeout(stepTimeoutMs);

/**
State of one scenario.
*/
export class GatewayWorld extends World {
	deployment!: Deployment;
	/**
	Everything sent in this scenario, for the auditor.
	*/
	readonly received: Received[] = [];
	/**
	What the latest step received.
	*/
	latest: readonly Received[] = [];
	/**
	Requests that are still under way.
	*/
	pending: Array<Promise<Received>> = [];
	/**
	Counts of servers that were killed, read just before.
	*/
	readonly buriedCounts: ServerCounts[] = [];
	isLoadOn = false;
	load: Promise<void> | undefined;
	requestId: string | undefined;
	version = 1;
	/**
	What the configuration in force says of the clerks.
	*/
	clerksResidency: readonly string[] = ['abuja'];
	mark = 0;

	/**
	Starts a deployment with two model servers and one plain server in each zone.
	*/
	async start(
		nodesPerZone: number,
		change: (document: ConfigurationDocument) => void = () => undefined,
	) {
		const document = parse(
			readFileSync('examples/ajoke/configuration.yaml', 'utf8'),
		) as ConfigurationDocument;
		document.backendServers = document.backendServers.filter(
			({id}) => !id.endsWith('-7') && !id.endsWith('-8'),
		);
		change(document);
		this.deployment = await startDeployment({
			document,
			nodesPerZone,
			delayMs: 10,
			stepMs: 4,
			prefillMs: 10,
			nodeEnvironment: {QUILLFORD_LOG_LEVEL: 'debug'},
		});
	}

	entryOf(node: string): string {
		return `http://${this.deployment.nodes.get(node)!.address}`;
	}

	async send(
		kind: RequestKind,
		node: string,
		options: Partial<Sending> = {},
	): Promise<Received> {
		const received = await send({kind, entry: this.entryOf(node), ...options});
		this.received.push(received);
		return received;
	}

	async sendMany(
		count: number,
		kind: RequestKind,
		node: string,
		options: Partial<Sending> = {},
	) {
		this.latest = await Promise.all(
			Array.from({length: count}, async () => this.send(kind, node, options)),
		);
	}

	/**
	Publishes the document with a change under the next version.
	*/
	async publishNext(
		change: (document: ConfigurationDocument) => void = () => undefined,
	): Promise<number> {
		this.version += 1;
		const next = structuredClone(this.deployment.document);
		next.version = this.version;
		change(next);
		await this.deployment.publish(next);
		return this.version;
	}

	async counts(): Promise<readonly ServerCounts[]> {
		const living = await Promise.all(
			[...this.deployment.backendServers.keys()].map(async (id) =>
				readCounts(this.deployment, id),
			),
		);
		return [...living, ...this.buriedCounts];
	}

	async audit() {
		assert.deepEqual(
			audit(this.received, await this.counts(), {
				'example-key-assembly-clerks': this.clerksResidency,
			}),
			[],
		);
	}
}

setWorldConstructor(GatewayWorld);

After(async function (this: GatewayWorld, {result}) {
	this.isLoadOn = false;
	await this.load;
	try {
		// Whatever a scenario is about, no caller may have been wronged in it.
		if (result?.status === 'PASSED') {
			for (const {child} of [
				...this.deployment.nodes.values(),
				...this.deployment.backendServers.values(),
			]) {
				child.kill('SIGCONT');
			}

			await Promise.all(this.pending);
			await this.audit();
		}
	} finally {
		await this.deployment?.stop();
	}
});
