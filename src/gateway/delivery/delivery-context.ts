import type {
	BackendAttemptEnd,
	BackendFleet,
	UpstreamClient,
	UpstreamFailure,
} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Member} from '../../membership/index.ts';
import type {QuarantineStatus} from '../../quarantine/index.ts';
import type {RetryYield, WindowRetryBudget} from '../../retries/index.ts';
import type {Route} from '../../routes/index.ts';
import type {BackendLimits} from '../../backend-limits/index.ts';
import type {
	ServerAnnouncements,
	StatementHandler,
} from '../../server-statements/index.ts';
import type {UpstreamChooser} from '../choosing/index.ts';
import type {DeliveryRecord, Exchange, RequestClient} from '../exchange.ts';
import type {ConnectionShare, OriginSharing} from '../sharing/index.ts';
import type {WireHeaders} from '../wire-headers.ts';
import type {AnswerBuffer} from './answer-buffer.ts';
import type {DeliveryRun} from './delivery-run.ts';
import type {EventNumbering, SparseEventIds} from './event-numbering.ts';
import type {CapacityForecast} from './capacity-forecast.ts';
import type {RouteDurations} from './route-durations.ts';
import type {RequestQueue} from './request-queue.ts';

/**
A call to a backend server.
*/
export type ServerCall = {
	readonly server: string;
	/**
	Identifies the incarnation of the server.
	*/
	readonly incarnationId: string;
	readonly sentAt: number;
};

/**
A change of a second call of a request whose first one is silent.
*/
export type HedgeChange =
	| {
			readonly kind: 'sent';
			/**
			The silent backend server.
			*/
			readonly server: string;
			readonly silentMs: number;
			/**
			The backend server or node that received the second call.
			*/
			readonly target: string;
	  }
	/**
	It answered first.
	*/
	| {readonly kind: 'adopted'}
	| {readonly kind: 'dropped'; readonly end: BackendAttemptEnd};

/**
Options of `createDeliveries`.
*/
export type DeliveryOptions = {
	readonly self: string;
	/**
	Monotonic time in milliseconds.
	*/
	readonly clock: () => number;
	readonly headers: WireHeaders;
	readonly without: DisabledMechanisms;
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	readonly choose: UpstreamChooser;
	readonly budget: WindowRetryBudget;
	/**
	Returns the number of nodes that share the retry budget, including this one.
	*/
	readonly budgetNodes: () => number;
	readonly durations: RouteDurations;
	/**
	Returns when this node exits, by its clock in milliseconds; infinite unless it is leaving.
	*/
	readonly exitsAt: () => number;
	/**
	Returns the ids of the nodes that are known to be leaving.
	*/
	readonly leavingNodes: () => ReadonlySet<string>;
	/**
	Whether this node has run long enough to know the other nodes.
	*/
	readonly hasSettled: () => boolean;
	/**
	Returns this node's share of the connections to a backend server of a service.
	*/
	readonly connectionShare: (
		service: string,
		server: string,
	) => ConnectionShare;
	readonly routesVersion: () => number;
	/**
	Whether the local region may serve a route.
	*/
	readonly isServedHere: (route: Route) => boolean;
	/**
	Whether no other region has servers that may serve a request.
	*/
	readonly isOnlyRegion: (exchange: Exchange, region: string) => boolean;
	/**
	Whether the key of a client is still valid for its account.
	*/
	readonly isClientKnown: (client: RequestClient) => boolean;
	/**
	Called when a node could not be reached.
	*/
	readonly onPeerFailure: (member: Member) => void;
	/**
	Called when a backend server could not be reached.
	*/
	readonly onServerFailure: (
		server: string,
		failure: Pick<UpstreamFailure, 'reason' | 'isRefused'>,
	) => void;
	/**
	Called when a connection to a backend server closed before the response was complete, or when the server stopped
	responding.
	*/
	readonly onCallBroken: (exchange: Exchange, call: ServerCall) => void;
	/**
	Called when a backend server has sent a complete response to a request.
	*/
	readonly onServed: (exchange: Exchange, status: number) => void;
	/**
	Returns whether a request is suspected of crashing servers.
	*/
	readonly quarantineStatus: (exchange: Exchange) => QuarantineStatus;
	/**
	Processes the statements in the headers of backend servers' responses.
	*/
	readonly statements: StatementHandler;
	/**
	Tracks the backoffs that backend servers requested and the requests sent to servers.
	*/
	readonly announcements: Pick<ServerAnnouncements, 'recordSend' | 'backoffs'>;
	/**
	Whether a request may be sent to this incarnation of a server now.
	*/
	readonly canSend: (server: string, incarnationId: string) => boolean;
	/**
	Whether requests to a service need leases of slots, because its servers fail when they have to refuse too many.
	*/
	readonly needsSlotLease: (service: string) => boolean;
	/**
	Where streams may be continued.
	*/
	readonly origins: Pick<
		OriginSharing,
		'record' | 'find' | 'decideWithoutRecord'
	>;
	/**
	Returns the regions in which no server of a service has this version of the software.
	*/
	readonly regionsWithout: (
		service: string,
		softwareVersion: string,
	) => ReadonlySet<string>;
	/**
	The request limits that backend servers announce.
	*/
	readonly backendLimits: BackendLimits;
	/**
	Called when a request was queued. Ticks must follow, which refuse the request on time.
	*/
	readonly onQueued: () => void;
	readonly onRecord: (record: DeliveryRecord) => void;
	/**
	Called with each change of a second call of a request.
	*/
	readonly onHedge: (exchange: Exchange, change: HedgeChange) => void;
	/**
	Called once for each service and software version of which event ids are found to rise by more than one.
	*/
	readonly onSparseEventIds: (sparse: SparseEventIds) => void;
};

/**
State that all requests in flight share.
*/
export type DeliveryContext = DeliveryOptions & {
	readonly runs: Set<DeliveryRun>;
	/**
	Requests that continue a stream whose origin is being searched.
	*/
	readonly searches: Set<Exchange>;
	readonly queue: RequestQueue;
	readonly answerBuffer: AnswerBuffer;
	readonly eventNumbering: EventNumbering;
	readonly forecast: CapacityForecast;
	readonly retryYield: RetryYield;
	/**
	Sends a request to the best remaining target, or queues it until there is capacity.
	*/
	readonly sendOrQueue: (run: DeliveryRun) => void;
	/**
	Queues a request that a server with a limit on refusals has refused, or refuses it if that has happened before.
	*/
	readonly queueRefused: (run: DeliveryRun) => void;
};
