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
One life of a backend server, and when a request was sent to it.
*/
export type AttemptIncarnation = {
	readonly server: string;
	readonly incarnationId: string;
	readonly sentAt: number;
};

/**
Tells the quarantine of the attempts of requests.
*/
export type RequestQuarantine = {
	statusOf(request: GatewayRequest): QuarantineStatus;
	incarnationOf(
		server: Pick<BackendServer, 'id'>,
		sentAt: number,
	): AttemptIncarnation;
	/**
	An attempt has ended; without a place it was made by way of another node.
	*/
	recordEnd(
		request: GatewayRequest,
		place: AttemptIncarnation | undefined,
		end: AttemptEnd,
	): void;
};

/**
Names one life of an engine.

@param id Of the backend server.
@param incarnation Names its process; undefined before its first report was heard.
*/
export const engineIncarnationId = (id: string, incarnation = ''): string =>
	`${id} ${incarnation}`;

/**
Builds the view that attempts have of the quarantine.
*/
export const createRequestQuarantine = (
	quarantine: Quarantine,
	fleet: Pick<Fleet, 'incarnationOf'>,
	clock: () => number,
): RequestQuarantine => ({
	statusOf: (request) =>
		quarantine.status(() => fingerprintOfRequest(request), clock()),
	incarnationOf: ({id}, sentAt) => ({
		server: id,
		incarnationId: engineIncarnationId(id, fleet.incarnationOf(id)),
		sentAt,
	}),
	recordEnd(request, place, end) {
		if (end === 'answered') {
			quarantine.served(() => fingerprintOfRequest(request));
		} else if (end === 'failed' && place) {
			const fingerprint = fingerprintOfRequest(request);
			quarantine.connectionBroken({...place, fingerprint}, clock());
		}
	},
});

/**
The error of a request that is sent to no server.
*/
export const quarantinedError = (leftMs: number): GatewayError =>
	createGatewayError(
		'quarantined',
		'Backend servers crashed each time they ran this request; it is in quarantine: change it, or come back later',
		{retryAfterSeconds: Math.max(0, leftMs) / 1000},
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
