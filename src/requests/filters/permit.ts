import {createGatewayError, type GatewayError} from '../../errors/index.ts';
import {sha256} from '../../shared/index.ts';
import {refuse, type Answer} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {GatewayRequest} from '../gateway-request.ts';
import {
	createReplayableAnswer,
	type ReplayableAnswer,
} from '../replayable-answer.ts';
import type {PermitIssuer, Permits} from '../permits.ts';

/**
Options of `createPermitFilter`.
*/
export type PermitFilterOptions = {
	readonly permits: Permits<ReplayableAnswer>;
	readonly clock: () => number;
	/**
	Forwards the request to the node that issued its id. Undefined for requests that another node forwarded, because they are forwarded at most once.
	*/
	readonly askIssuer?: (
		request: GatewayRequest,
		issuer: PermitIssuer,
	) => Promise<Answer>;
	/**
	Counts requests that run until their end even if the caller disconnects.
	*/
	readonly track: (isBeginning: boolean) => void;
};

/**
Creates the filter that lets a request that is not repeatable run at most once.
*/
export const createPermitFilter =
	(options: PermitFilterOptions): Filter<GatewayRequest, GatewayRequest> =>
	async (request, next) => {
		if (request.isRepeatable) {
			return next(request);
		}

		const use = {
			requestId: request.requestId,
			clientName: request.client.name,
			bodyDigest: sha256(
				`${request.method}\n${request.url}\n${request.body.toString('base64')}`,
			),
		};
		const redemption = options.permits.redeem(use, options.clock());
		switch (redemption.kind) {
			case 'run': {
				return runOnce(options, request, next);
			}

			case 'repeat': {
				const {answer} = redemption.record;
				return answer
					? answer.read()
					: refuse(
							createGatewayError(
								'answer-not-kept',
								'The request ran; its response is no longer stored',
							),
						);
			}

			case 'conflict': {
				return refuse(
					createGatewayError(
						'permit-conflict',
						'The request id was used for another request; use a fresh id',
					),
				);
			}

			case 'elsewhere': {
				return options.askIssuer
					? options.askIssuer(request, redemption.issuer)
					: refuse(
							createGatewayError(
								'hop-refused',
								'The request was forwarded to a node that did not issue its id',
							),
						);
			}

			case 'forgotten': {
				return refuse(unknownUse());
			}

			case 'not-issued': {
				return refuse(notIssued());
			}
		}
	};

const runOnce = async (
	options: PermitFilterOptions,
	request: GatewayRequest,
	next: (request: GatewayRequest) => Promise<Answer>,
): Promise<Answer> => {
	const {requestId} = request;
	options.track(true);
	const answer = createReplayableAnswer(
		async () => next({...request, signal: new AbortController().signal}),
		(outcome) => {
			options.permits.end(
				requestId,
				outcome,
				outcome === 'not-run' ? undefined : answer,
			);
			options.track(false);
		},
	);
	options.permits.attach(requestId, answer);
	return answer.read();
};

const unknownUse = (): GatewayError =>
	createGatewayError(
		'outcome-unknown',
		'The request id was issued by a process that has ended or too long ago; the request may have run and is not run again',
	);

const notIssued = (): GatewayError =>
	createGatewayError(
		'bad-request',
		'A request that is not repeatable needs an id issued by this gateway; get one from GET /v1/entry-vms or send none',
	);
