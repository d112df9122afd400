import type {GatewayError} from '../errors/index.ts';
import type {EntryVmList} from '../membership/index.ts';
import type {NodeReport} from '../reporting/index.ts';
import type {InFlight, RequestChain, TargetChooser} from '../requests/index.ts';
import type {NodeContext} from './node-context.ts';

/**
A running entry node without its HTTP listeners for callers and operators.
*/
export type GatewayNode = NodeContext & {
	readonly chain: RequestChain;
	readonly chooser: TargetChooser;
	readonly inFlight: InFlight;
	start(): Promise<void>;
	/**
	Refuses new requests, announces the shutdown to peers, and resolves once all requests have ended or the drain timeout
	has elapsed.
	*/
	drain(): Promise<boolean>;
	isLeaving(): boolean;
	stop(): Promise<void>;
	report(): NodeReport;
	entryVms(): EntryVmList;
	/**
	Issues a request id for a request that may run at most once.
	*/
	issueRequestId(): string;
	readiness(): Promise<GatewayError | undefined>;
	controlCounts(): Readonly<Record<string, number>>;
};
