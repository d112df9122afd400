import type {
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
import type {ConnectionShare} from '../sharing/index.ts';
import type {WireHeaders} from '../wire-headers.ts';
import type {DeliveryRun} from './delivery-run.ts';
import type {CapacityForecast} from './capacity-forecast.ts';
import type {RouteDurations} from './route-durations.ts';
import type {RequestQueue} from './request-queue.ts';

/**
A call to a backend server.
*/
export type ServerCall = {
	readonly server: string;
	/**
	Names the life of the server.
	*/
	readonly incarnationId: string;
	readonly sentAt: number;
};

/**
What deliveries are made with.
*/
export type DeliveryOptions = {
	readonly self: string;
	/**
	Milliseconds that only rise.
	*/
	readonly clock: () => number;
	readonly headers: WireHeaders;
	readonly without: DisabledMechanisms;
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	readonly choose: UpstreamChooser;
	readonly budget: WindowRetryBudget;
	/**
	Nodes that share the retry budget, this one included.
	*/
	readonly budgetNodes: () => number;
	readonly durations: RouteDurations;
	/**
	Whether this node had time to hear of the others.
	*/
	readonly hasSettled: () => boolean;
	/**
	Connections that this node may hold to one backend server of a service.
	*/
	readonly connectionShare: (
		service: string,
		server: string,
	) => ConnectionShare;
	readonly routesVersion: () => number;
	/**
	Whether the own region may serve a route.
	*/
	readonly isServedHere: (route: Route) => boolean;
	/**
	Whether a client's key still leads to its account.
	*/
	readonly isClientKnown: (client: RequestClient) => boolean;
	/**
	Says that a node could not be reached.
	*/
	readonly onPeerFailure: (member: Member) => void;
	/**
	Says that a backend server could not be reached.
	*/
	readonly onServerFailure: (
		server: string,
		failure: Pick<UpstreamFailure, 'reason' | 'isRefused'>,
	) => void;
	/**
	Says that the connection of a request to a backend server ended without a whole answer, or went silent.
	*/
	readonly onCallBroken: (exchange: Exchange, call: ServerCall) => void;
	/**
	Says that a request was answered whole by a backend server.
	*/
	readonly onServed: (exchange: Exchange) => void;
	/**
	What is known against a request.
	*/
	readonly quarantineStatus: (exchange: Exchange) => QuarantineStatus;
	/**
	Takes in what backend servers state in their answers.
	*/
	readonly statements: StatementHandler;
	/**
	What they have announced about receiving requests.
	*/
	readonly announcements: Pick<ServerAnnouncements, 'recordSend' | 'backoffs'>;
	/**
	Whether a life of a server may be sent a request now.
	*/
	readonly canReceive: (server: string, life: string) => boolean;
	/**
	The limits that backend servers name.
	*/
	readonly backendLimits: BackendLimits;
	/**
	Says that a request has begun to wait for room; ticks must follow that refuse it on time.
	*/
	readonly onWaiting: () => void;
	readonly onRecord: (record: DeliveryRecord) => void;
};

/**
What all requests under way share.
*/
export type DeliveryContext = DeliveryOptions & {
	readonly runs: Set<DeliveryRun>;
	readonly queue: RequestQueue;
	readonly forecast: CapacityForecast;
	readonly retryYield: RetryYield;
	/**
	Sends a request to the best place that it may still go to, or lets it wait for room.
	*/
	readonly sendOrWait: (run: DeliveryRun) => void;
};
