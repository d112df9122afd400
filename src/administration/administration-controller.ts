import process from 'node:process';
import {Controller, Get, HttpCode, Inject, Post, Query} from '@nestjs/common';
import type {GatewayNode} from '../node/index.ts';
import {explainRequest} from './explain.ts';
import {gatherReports} from './gather-reports.ts';

/**
Injection token of the node.
*/
export const nodeToken = Symbol('node');

/**
Injection token of the function that begins a planned stop.
*/
export const drainToken = Symbol('drain');

/**
Answers operators; everything but `drain` only reads.
*/
@Controller()
export class AdministrationController {
	readonly #node: GatewayNode;
	readonly #drain: () => void;

	constructor(
		@Inject(nodeToken) node: GatewayNode,
		@Inject(drainToken) drain: () => void,
	) {
		this.#node = node;
		this.#drain = drain;
	}

	/**
	Whether the process runs.
	*/
	@Get('health')
	health() {
		return {status: 'live', node: this.#node.settings.nodeId};
	}

	/**
	Whether the node takes requests, and why not.
	*/
	@Get('ready')
	async ready() {
		const obstacle = await this.#node.readiness();
		const hasConfiguration = this.#node.configuration.current() !== undefined;
		return {
			isReady: !obstacle && hasConfiguration,
			obstacle: obstacle?.kind,
			inFlight: this.#node.inFlight.count(),
		};
	}

	/**
	The other nodes as this one sees them.
	*/
	@Get('members')
	members() {
		const {membership} = this.#node;
		return {self: membership.self(), members: membership.members()};
	}

	/**
	The configuration in force and what was refused.
	*/
	@Get('configuration')
	configuration() {
		const {configuration, localRegion} = this.#node;
		return {
			...configuration.stamp(),
			region: localRegion(),
			document: configuration.current()?.configuration,
			refusals: configuration.refusals(),
		};
	}

	/**
	The backend servers of this node's zone with their load.
	*/
	@Get('backend-servers')
	backendServers() {
		return {backendServers: this.#node.fleet.states(this.#node.clock())};
	}

	/**
	The policies in force.
	*/
	@Get('policies')
	policies() {
		return {
			policies:
				this.#node.configuration.current()?.configuration.policies ?? [],
		};
	}

	/**
	Which policy, regions and backend servers a request with these labels would get.
	*/
	@Get('explain')
	explain(@Query() query: Readonly<Record<string, string | undefined>>) {
		return explainRequest(
			this.#node.configuration.current()?.configuration,
			query,
			this.#node,
		);
	}

	/**
	Cost, latency, away share and burn; with `scope=all` of every node that answers.
	*/
	@Get('report')
	async report(@Query('scope') scope: string | undefined) {
		return scope === 'all'
			? gatherReports(this.#node)
			: {reports: [this.#node.report()], unanswered: []};
	}

	/**
	Messages, bytes, memory and processor time spent so far.
	*/
	@Get('usage')
	usage() {
		const {rss, heapUsed} = process.memoryUsage();
		const {user, system} = process.cpuUsage();
		return {
			...this.#node.controlCounts(),
			rss,
			heapUsed,
			processorMicroseconds: user + system,
		};
	}

	/**
	Begins a planned stop: no request in flight is interrupted.
	*/
	@Post('drain')
	@HttpCode(202)
	drain() {
		this.#drain();
		return {status: 'leaving', inFlight: this.#node.inFlight.count()};
	}
}
