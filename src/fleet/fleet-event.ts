import type {BackendServer} from '../configuration/index.ts';

/**
A load report of a backend server.
*/
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
	/**
	Identifies the engine process; a restart changes it.
	*/
	readonly incarnation: string;
};

/**
How an attempt at a backend server ended.
*/
export type AttemptEnd =
	'answered' | 'refused' | 'unreachable' | 'failed' | 'canceled';

/**
Event that changes the state of the backend servers.
*/
export type FleetEvent =
	| {
			readonly kind: 'configured';
			readonly backendServers: readonly BackendServer[];
	  }
	| {
			readonly kind: 'load-reported';
			readonly backendServer: string;
			readonly report: LoadReport;
			/**
			When the server made the report, by the clock of this node.
			*/
			readonly observedAt: number;
	  }
	| {
			readonly kind: 'peer-in-flight';
			readonly node: string;
			readonly counts: Readonly<Record<string, number>>;
	  }
	| {readonly kind: 'peer-gone'; readonly node: string}
	| {
			readonly kind: 'leaving';
			readonly backendServer: string;
			readonly incarnation: string;
	  }
	/**
	The server asked this node to send no requests until the given time.
	*/
	| {
			readonly kind: 'resting';
			readonly backendServer: string;
			readonly until: number;
	  }
	| {readonly kind: 'attempt-started'; readonly backendServer: string}
	| {
			readonly kind: 'first-token';
			readonly backendServer: string;
			readonly elapsedMs: number;
	  }
	| {
			readonly kind: 'attempt-ended';
			readonly backendServer: string;
			readonly end: AttemptEnd;
	  }
	/**
	The backend servers that have announced rate limits.
	*/
	| {readonly kind: 'limited'; readonly backendServers: ReadonlySet<string>}
	/**
	The process has resumed after a pause.
	*/
	| {readonly kind: 'woken'};
