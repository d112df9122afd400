import type {BackendServer} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {AttemptEnd, Fleet} from '../fleet/index.ts';
import {
	fingerprintOf,
	type Quarantine,
	type QuarantineStatus,
} from '../quarantine/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
The incarnation of a backend server to which an attempt was sent, and when.
*/
export type AttemptIncarnation = {
	readonly server: string;
	readonly incarnationId: string;
	readonly sentAt: number;
};

/**
Reports the attempts of requests to the quarantine.
*/
export type RequestQuarantine = {
	statusOf(request: GatewayRequest): QuarantineStatus;
	incarnationOf(
		server: Pick<BackendServer, 'id'>,
		sentAt: number,
	): AttemptIncarnation;
	/**
	Records the end of an attempt; the incarnation is undefined for an attempt that was forwarded to another node.
	*/
	recordEnd(
		request: GatewayRequest,
		incarnation: AttemptIncarnation | undefined,
		end: AttemptEnd,
	): void;
};

/**
Returns the id of one incarnation of an engine.

@param id Id of the backend server.
@param incarnation Identifies its process; undefined before its first load report.
*/
export const engineIncarnationId = (id: string, incarnation = ''): string =>
	`${id} ${incarnation}`;

/**
Creates the adapter between requests and the quarantine.
*/
export const createRequestQuarantine = (
	quarantine: Quarantine,
	fleet: Pick<Fleet, 'incarnationOf'>,
	clock: () => number,
): RequestQuarantine => ({
	statusOf: (request) =>
		quarantine.status(
			() => fingerprintOfRequest(request),
			() => [],
			clock(),
		),
	incarnationOf: ({id}, sentAt) => ({
		server: id,
		incarnationId: engineIncarnationId(id, fleet.incarnationOf(id)),
		sentAt,
	}),
	recordEnd(request, incarnation, end) {
		if (end === 'answered') {
			quarantine.served(() => fingerprintOfRequest(request));
		} else if (end === 'failed' && incarnation) {
			const fingerprint = fingerprintOfRequest(request);
			const run = {...incarnation, fingerprint, partFingerprints: []};
			quarantine.connectionBroken(run, clock());
		}
	},
});

/**
Error for a quarantined request, which is not sent to any server.
*/
export const quarantinedError = (remainingMs: number): GatewayError =>
	createGatewayError(
		'quarantined',
		'Backend servers crashed each time they ran this request; the request is quarantined: change it or retry later',
		{retryAfterSeconds: Math.max(0, remainingMs) / 1000},
	);

const fingerprintOfRequest = ({
	method,
	url,
	service,
	client,
	body,
}: GatewayRequest): string =>
	fingerprintOf({
		method,
		host: service.name,
		target: url,
		client: client.name,
		body,
	});
