import type {BackendFleet, UpstreamClient} from '../../backends/index.ts';
import type {Logger} from '../../logging/index.ts';
import {incarnationIdOf} from '../../registry/index.ts';
import type {BackendLimits} from '../../backend-limits/index.ts';
import type {
	ServerBackoffs,
	StatementHandler,
} from '../../server-statements/index.ts';
import type {WireHeaders} from '../wire-headers.ts';
import {isMisdirected} from './judge-head.ts';

/**
Asks backend servers for their health when there is reason to doubt it.
*/
export type ServerProbes = {
	/**
	Asks a server at once, whatever is believed of it.
	*/
	probeNow(server: string): void;
	tick(now: number): void;
};

/**
What probes are made with.
*/
export type ServerProbesOptions = {
	readonly client: UpstreamClient;
	readonly fleet: BackendFleet;
	readonly headers: WireHeaders;
	readonly clock: () => number;
	readonly logger: Logger;
	readonly healthPath: (service: string) => string;
	/**
	Told that a server has ended: nobody listens at its address, or another server does.
	*/
	readonly onGone: (life: string) => void;
	/**
	Told that a server has answered.
	*/
	readonly onAlive: (life: string) => void;
	/**
	The limits that backend servers name.
	*/
	readonly backendLimits: Pick<BackendLimits, 'recordSend'>;
	/**
	The rests that servers asked this node for.
	*/
	readonly rests: Pick<ServerBackoffs, 'remainingMs'>;
	/**
	Takes in what servers state in their answers.
	*/
	readonly statements: StatementHandler;
};

/**
How long a health check may take, in milliseconds. It waits for a slot like any request.
*/
export const probeTimeoutMs = 900;

/**
Builds the probes of one node.
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
		rests,
		statements,
	} = options;

	const probe = (id: string) => {
		const server = fleet.server(id);
		if (!server) {
			return;
		}

		const incarnationId = incarnationIdOf(server);
		const sentAt = clock();
		// The refusal that asked for the rest has shown that the server lives.
		if (rests.remainingMs(incarnationId, sentAt) > 0) {
			return;
		}

		backendLimits.recordSend(incarnationId, sentAt);
		// A key of its own, for the connections of requests may be dead.
		const key = `probe ${id}`;
		const call = client.call(
			{
				key,
				address: server.address,
				maximumConnections: 1,
				connectTimeoutMs: probeTimeoutMs,
				method: 'GET',
				target: options.healthPath(server.service),
				headers: ['host', server.address, headers.expectedServer, id],
				body: undefined,
				canBegin: () => rests.remainingMs(incarnationId, clock()) === 0,
			},
			{
				onHead({status, header}) {
					const isSound = status === 200 && header(headers.serverId) === id;
					const {coldMs = 0} = statements.handle({
						server: id,
						incarnationId,
						source: 'health check',
						sentAt,
						receivedAt: clock(),
						status,
						// Whether servers name a limit in health checks is theirs to decide; one without it ends none.
						isSigned: false,
						header,
					});
					if (isMisdirected(status)) {
						options.onGone(incarnationId);
					} else {
						options.onAlive(incarnationId);
						fleet.recordProbeAnswer(id, clock());
					}

					// Connections from before the fault may be dead without a reset.
					if (isSound && fleet.isSuspect(id)) {
						logger.info({server: id, coldMs}, 'backend server healthy');
						client.forget(`server ${id}`);
					}

					fleet.recordProbeResult(id, isSound ? coldMs : undefined, clock());
				},
				onData: () => true,
				onEnd() {
					finish();
				},
				onFailure({isRefused}) {
					finish();
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
			clearTimeout(timer);
			client.forget(key);
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
