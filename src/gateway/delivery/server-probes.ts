import {
	backendConnectTimeoutMs,
	isConnectFailure,
	type BackendFleet,
	type UpstreamClient,
} from '../../backends/index.ts';
import type {Logger} from '../../logging/index.ts';
import {incarnationIdOf} from '../../registry/index.ts';
import type {BackendLimits} from '../../backend-limits/index.ts';
import type {
	ServerBackoffs,
	StatementHandler,
} from '../../server-statements/index.ts';
import type {SlotLeases, SlotUse} from '../../slot-leases/index.ts';
import {encodePath, toHeaderValue} from '../../shared/index.ts';
import type {WireHeaders} from '../wire-headers.ts';
import {isMisdirected} from './judge-head.ts';

/**
Sends health checks to backend servers that may be unhealthy.
*/
export type ServerProbes = {
	/**
	Sends a health check to a server at once, regardless of its assumed state.
	*/
	probeNow(server: string): void;
	tick(now: number): void;
};

/**
Options of `createServerProbes`.
*/
export type ServerProbesOptions = {
	readonly client: UpstreamClient;
	readonly fleet: BackendFleet;
	readonly headers: WireHeaders;
	readonly clock: () => number;
	readonly logger: Logger;
	readonly healthPath: (service: string) => string;
	/**
	Called when a server is gone: nothing listens at its address, or another server does.
	*/
	readonly onGone: (incarnationId: string) => void;
	/**
	Called when a server has responded.
	*/
	readonly onAlive: (incarnationId: string) => void;
	/**
	The request limits that backend servers announce.
	*/
	readonly backendLimits: Pick<BackendLimits, 'recordSend'>;
	/**
	The backoffs that servers requested from this node.
	*/
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs'>;
	readonly slotLeases: Pick<
		SlotLeases,
		| 'isRequired'
		| 'availability'
		| 'requestForProbe'
		| 'recordSend'
		| 'recordEnd'
	>;
	/**
	Processes the statements in the headers of servers' responses.
	*/
	readonly statements: StatementHandler;
};

/**
Timeout of a health check, in milliseconds. A health check waits for a slot like any request.
*/
export const probeTimeoutMs = 900;

// The body of a response to a health check is not evaluated.
const maximumProbeBytes = 65_536;

/**
Marks a backend server as unreachable, and logs it if that is news.
*/
export const recordConnectFailure = (
	{
		fleet,
		logger,
		clock,
	}: Pick<ServerProbesOptions, 'fleet' | 'logger' | 'clock'>,
	server: string,
	reason: string,
): void => {
	const before = fleet.suspicionOf(server);
	if (before === 'unreachable') {
		return;
	}

	fleet.recordConnectFailure(server, clock());
	logger.warn({server, reason, before}, 'backend server suspected');
};

/**
Creates the probes of a node.
*/
export const createServerProbes = (
	options: ServerProbesOptions,
): ServerProbes => {
	const {
		client,
		fleet,
		headers,
		clock,
		logger,
		backendLimits,
		backoffs,
		slotLeases,
		statements,
	} = options;

	const probe = (id: string) => {
		const server = fleet.server(id);
		if (!server) {
			return;
		}

		const incarnationId = incarnationIdOf(server);
		const sentAt = clock();
		// The refusal that requested the backoff has shown that the server is alive.
		if (backoffs.remainingMs(incarnationId, sentAt) > 0) {
			return;
		}

		const leased = fleet.leasedServer(id)!;
		const shouldWait =
			slotLeases.isRequired(server.service) &&
			slotLeases.availability(leased, sentAt) !== 'ready';
		if (shouldWait) {
			slotLeases.requestForProbe(leased, sentAt);
			return;
		}

		slotLeases.recordSend(leased, sentAt);
		backendLimits.recordSend(incarnationId, sentAt);
		let use: SlotUse = 'left';
		let isOver = false;
		let bodyBytes = 0;
		// Uses a connection pool of its own, because the pooled connections of requests may be dead.
		const key = `probe ${id}`;
		const call = client.call(
			{
				key,
				address: server.address,
				maximumConnections: 1,
				connectTimeoutMs: backendConnectTimeoutMs,
				method: 'GET',
				target: encodePath(options.healthPath(server.service)),
				headers: [
					'host',
					server.address,
					headers.expectedServer,
					toHeaderValue(id),
				],
				body: undefined,
				canBegin: () => backoffs.remainingMs(incarnationId, clock()) === 0,
			},
			{
				onHead({status, header}) {
					use = header(headers.notRun) === undefined ? 'ran' : 'refused';
					const isHealthy =
						status === 200 && header(headers.serverId) === toHeaderValue(id);
					const {coldMs = 0} = statements.handle({
						server: id,
						incarnationId,
						source: 'health check',
						sentAt,
						receivedAt: clock(),
						status,
						// Servers need not state their limit in health checks, so a check without a limit does not end one.
						isSigned: false,
						header,
					});
					if (isMisdirected(status)) {
						options.onGone(incarnationId);
					} else {
						options.onAlive(incarnationId);
						fleet.recordProbeAnswer(id, clock());
					}

					// Connections opened before the fault may be dead without a TCP reset.
					if (isHealthy && fleet.suspicionOf(id) !== undefined) {
						logger.info({server: id, coldMs}, 'backend server healthy');
						client.forget(`server ${id}`);
					}

					fleet.recordProbeResult(id, isHealthy ? coldMs : undefined, clock());
				},
				onData(chunk) {
					bodyBytes += chunk.length;
					if (bodyBytes > maximumProbeBytes) {
						call.abort();
						finish();
					}

					return true;
				},
				onEnd() {
					finish();
				},
				onFailure(failure) {
					const {isRefused, reason} = failure;
					finish();
					if (isConnectFailure(failure)) {
						recordConnectFailure(options, id, reason);
					}

					if (isRefused) {
						options.onGone(incarnationId);
					}
				},
			},
		);
		const timer = setTimeout(() => {
			call.abort();
			finish();
		}, probeTimeoutMs);
		const finish = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			clearTimeout(timer);
			client.forget(key);
			slotLeases.recordEnd(incarnationId, use, clock());
		};
	};

	return {
		probeNow: probe,
		tick(now) {
			for (const id of fleet.dueProbes(now)) {
				probe(id);
			}
		},
	};
};
