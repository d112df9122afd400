import {All, Controller, Get, Inject, Req, Res} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {GatewayNode} from '../node/index.ts';
import {writeAnswer} from './write-answer.ts';
import {toIncomingRequest} from './to-incoming-request.ts';

/**
Injection token of the node.
*/
export const nodeToken = Symbol('node');

/**
Routes of the caller API: requests to services, the list of models and the list of entry VMs.
*/
@Controller()
export class CallerController {
	readonly #node: GatewayNode;

	constructor(@Inject(nodeToken) node: GatewayNode) {
		this.#node = node;
	}

	/**
	Returns whether the node is live or leaving, for external health checks.
	*/
	@Get('healthz')
	health() {
		return {status: this.#node.isLeaving() ? 'leaving' : 'live'};
	}

	/**
	Returns the entry VMs in order of preference and a new request id.
	*/
	@Get('v1/entry-vms')
	entryVms() {
		return {...this.#node.entryVms(), requestId: this.#node.issueRequestId()};
	}

	/**
	Returns the available models in the format that OpenAI clients expect.
	*/
	@Get('v1/models')
	models() {
		const models =
			this.#node.configuration.current()?.configuration.models ?? [];
		return {
			object: 'list',
			data: models.map(({name}) => ({
				id: name,
				object: 'model',
				created: 0,
				// eslint-disable-next-line @typescript-eslint/naming-convention
				owned_by: 'quillford',
			})),
		};
	}

	/**
	Passes all other requests through the filter chain.
	*/
	@All('*')
	async request(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
		const incoming = toIncomingRequest(request, reply);
		const answer = await this.#node.chain.answer(incoming);
		await writeAnswer(reply, answer, this.#node.isLeaving());
	}
}
