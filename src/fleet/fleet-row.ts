import type {BackendServer} from '../configuration/index.ts';
import type {LoadReport} from './fleet-event.ts';
import type {FleetParameters} from './fleet-parameters.ts';

/**
State that a node keeps for one backend server.
*/
export type Row = {
	readonly server: BackendServer;
	report: LoadReport | undefined;
	reportedAt: number;
	/**
	This node's requests in flight at the time of the report.
	*/
	inFlightAtReport: number;
	inFlight: number;
	readonly peers: Map<string, number>;
	peerInFlight: number;
	firstTokenMs: number;
	failures: number;
	ejections: number;
	ejectedUntil: number;
	/**
	Time until which the server's current process asked this node to send no requests.
	*/
	backoffUntil: number;
	availableSince: number;
	incarnation: string | undefined;
	/**
	Whether the server has announced a rate limit.
	*/
	isLimited: boolean;
	readonly leavingIncarnations: Set<string>;
};

/**
Matches any process; used in announcements from sources that do not identify the process.
*/
export const anyIncarnation = '*';

/**
Identifies the process that ran before the first load report named one.
*/
export const unnamedIncarnation = '';

const minimumWeight = 0.05;

/**
Applies a load report unless a later one is known.
*/
export const applyReport = (
	row: Row,
	report: LoadReport,
	observedAt: number,
	now: number,
) => {
	if (observedAt < row.reportedAt) {
		return;
	}

	if (
		row.incarnation === unnamedIncarnation &&
		row.leavingIncarnations.has(unnamedIncarnation)
	) {
		row.leavingIncarnations.add(report.incarnation);
	} else if (
		row.incarnation !== undefined &&
		row.incarnation !== report.incarnation
	) {
		row.backoffUntil = 0;
		// A new process starts with cold caches.
		row.availableSince = now;
		row.failures = 0;
	}

	row.incarnation = report.incarnation;
	row.report = report;
	row.reportedAt = observedAt;
	row.inFlightAtReport = row.inFlight;
};

/**
Estimates the requests at a server from its load report and from the requests that this node and
other nodes have in flight. The weight of the report decreases with its age.
*/
export const estimateLoad = (
	row: Row,
	parameters: FleetParameters,
	now: number,
): number => {
	const knownInFlight = row.inFlight + row.peerInFlight;
	if (!row.report) {
		return knownInFlight;
	}

	const reportWeight = Math.exp(
		-Math.max(0, now - row.reportedAt) / parameters.reportDecayMs,
	);
	const sinceReport = Math.max(0, row.inFlight - row.inFlightAtReport);
	return Math.max(
		knownInFlight,
		(row.report.running + row.report.queued) * reportWeight + sinceReport,
	);
};

/**
Slow-start weight of a server: its fraction of a full share of requests, up to 1.
*/
export const weightOf = (
	row: Row,
	parameters: FleetParameters,
	now: number,
): number =>
	Math.min(
		1,
		Math.max(
			minimumWeight,
			(now - row.availableSince) / parameters.slowStartMs,
		),
	);

/**
Whether the server's current process has announced its shutdown.
*/
export const isLeavingRow = (row: Row): boolean =>
	row.leavingIncarnations.has(anyIncarnation) ||
	(row.incarnation !== undefined &&
		row.leavingIncarnations.has(row.incarnation));
