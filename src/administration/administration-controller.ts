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
Injection token of the function that starts draining the node.
*/
export const drainToken = Symbol('drain');

/**
Routes of the administration API; all except `drain` are read-only.
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
	Liveness check.
	*/
	@Get('health')
	health() {
		return {status: 'live', node: this.#node.settings.nodeId};
	}

	/**
	Returns whether the node is ready to receive requests and, if it is not, the reason.
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
	Returns this node and the other members that it knows.
	*/
	@Get('members')
	members() {
		const {membership} = this.#node;
		return {self: membership.self(), members: membership.members()};
	}

	/**
	Returns the active configuration and the rejected ones.
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
	Returns the backend servers of this node's zone with their load.
	*/
	@Get('backend-servers')
	backendServers() {
		return {backendServers: this.#node.fleet.states(this.#node.clock())};
	}

	/**
	Returns the active policies.
	*/
	@Get('policies')
	policies() {
		return {
			policies:
				this.#node.configuration.current()?.configuration.policies ?? [],
		};
	}

	/**
	Explains which policy, regions and backend servers apply to a request with the given properties.
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
	Returns cost, latency, share of requests served away from their home region, and burn rates; with `scope=all`, those of every node that responds.
	*/
	@Get('report')
	async report(@Query('scope') scope: string | undefined) {
		return scope === 'all'
			? gatherReports(this.#node)
			: {reports: [this.#node.report()], unanswered: []};
	}

	/**
	Returns the messages, bytes and processor time used so far and the current memory usage.
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
	Starts draining the node. Requests in flight are not interrupted.
	*/
	@Post('drain')
	@HttpCode(202)
	drain() {
		this.#drain();
		return {status: 'leaving', inFlight: this.#node.inFlight.count()};
	}
}
