import type {BackendServer} from '../configuration/index.ts';
import type {LoadReport} from './fleet-event.ts';
import type {FleetParameters} from './fleet-parameters.ts';

/**
What a node keeps of one backend server.
*/
export type Row = {
	readonly server: BackendServer;
	report: LoadReport | undefined;
	reportedAt: number;
	/**
	Own requests in flight when the report was true.
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
	Until when the present process asked this node to send nothing.
	*/
	backoffUntil: number;
	availableSince: number;
	incarnation: string | undefined;
	/**
	Whether it has named a limit.
	*/
	isLimited: boolean;
	readonly leavingIncarnations: Set<string>;
};

/**
Stands for any process, in announcements of sources that name none.
*/
export const anyIncarnation = '*';

/**
Stands for the process that was there before its first report named it.
*/
export const unnamedIncarnation = '';

const lowestWeight = 0.05;

/**
Takes in a load report, unless a later one is known.
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
The requests that a server has, from its report and from what this node and others have under way.
The older the report, the less it counts.
*/
export const estimateLoad = (
	row: Row,
	parameters: FleetParameters,
	now: number,
): number => {
	const known = row.inFlight + row.peerInFlight;
	if (!row.report) {
		return known;
	}

	const trust = Math.exp(
		-Math.max(0, now - row.reportedAt) / parameters.reportDecayMs,
	);
	const sinceReport = Math.max(0, row.inFlight - row.inFlightAtReport);
	return Math.max(
		known,
		(row.report.running + row.report.queued) * trust + sinceReport,
	);
};

/**
The part of a full share that a server is given while it warms up, up to 1.
*/
export const weightOf = (
	row: Row,
	parameters: FleetParameters,
	now: number,
): number =>
	Math.min(
		1,
		Math.max(lowestWeight, (now - row.availableSince) / parameters.slowStartMs),
	);

/**
Whether the server's present process has announced its shutdown.
*/
export const isLeavingRow = (row: Row): boolean =>
	row.leavingIncarnations.has(anyIncarnation) ||
	(row.incarnation !== undefined &&
		row.leavingIncarnations.has(row.incarnation));
