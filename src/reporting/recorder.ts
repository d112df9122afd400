import type {Objective} from '../configuration/index.ts';
import type {ErrorKind} from '../errors/index.ts';
import type {Labels} from '../policies/index.ts';
import {createBurnTracker, type BurnReport} from './burn.ts';
import {
	createDurationHistogram,
	type DurationHistogram,
	type Percentiles,
} from './histogram.ts';

/**
One finished request.
*/
export type RequestRecord = {
	readonly client: string;
	readonly policy: string;
	readonly labels: Labels;
	readonly homeRegion: string;
	/**
	Region that served the request; undefined if no backend server did.
	*/
	readonly servedRegion: string | undefined;
	readonly result: 'answered' | ErrorKind;
	readonly firstTokenMs: number | undefined;
	/**
	Mean time between tokens, in milliseconds.
	*/
	readonly interTokenMs: number | undefined;
	readonly totalMs: number;
	readonly tokens: number;
	readonly cost: number;
	readonly at: number;
};

/**
Statistics of one policy, client or region.
*/
export type ReportRow = {
	readonly dimension: 'policy' | 'client' | 'region';
	readonly name: string;
	readonly requests: number;
	readonly answered: number;
	readonly away: number;
	readonly tokens: number;
	readonly cost: number;
	readonly firstToken: Percentiles;
	readonly interToken: Percentiles;
	readonly total: Percentiles;
	readonly errors: Readonly<Record<string, number>>;

	/**
	Encoded histograms; only set for policies, which are compared over all nodes.
	*/
	readonly firstTokenHistogram: string | undefined;
	readonly interTokenHistogram: string | undefined;
};

/**
Report of one node.
*/
export type NodeReport = {
	readonly node: string;
	readonly rows: readonly ReportRow[];
	readonly burn: readonly BurnReport[];
};

/**
Collects request statistics for reports.
*/
export type Recorder = {
	record(record: RequestRecord, objectives: readonly Objective[]): void;
	report(objectives: readonly Objective[], now: number): NodeReport;
};

type Row = {
	requests: number;
	answered: number;
	away: number;
	tokens: number;
	cost: number;
	readonly firstToken: DurationHistogram;
	readonly interToken: DurationHistogram;
	readonly total: DurationHistogram;
	readonly errors: Map<string, number>;
};

/**
Creates an empty recorder.
*/
export const createRecorder = (node: string): Recorder => {
	const rows = new Map<string, Row>();
	const burn = createBurnTracker();

	const rowFor = (dimension: ReportRow['dimension'], name: string): Row => {
		const key = `${dimension}/${name}`;
		const known = rows.get(key);
		if (known) {
			return known;
		}

		const row = createRow();
		rows.set(key, row);
		return row;
	};

	return {
		record(record, objectives) {
			addTo(rowFor('policy', record.policy), record);
			addTo(rowFor('client', record.client), record);
			addTo(rowFor('region', record.homeRegion), record);
			burn.record(objectives, {
				labels: record.labels,
				isAnswered: record.result === 'answered',
				firstTokenMs: record.firstTokenMs,
				at: record.at,
			});
		},
		report: (objectives, now) => ({
			node,
			rows: [...rows].map(([key, row]) => describe(key, row)),
			burn: burn.report(objectives, now),
		}),
	};
};

const createRow = (): Row => ({
	requests: 0,
	answered: 0,
	away: 0,
	tokens: 0,
	cost: 0,
	firstToken: createDurationHistogram(),
	interToken: createDurationHistogram(),
	total: createDurationHistogram(),
	errors: new Map(),
});

const addTo = (row: Row, record: RequestRecord): void => {
	row.requests += 1;
	row.tokens += record.tokens;
	row.cost += record.cost;
	row.total.record(record.totalMs);
	if (record.result === 'answered') {
		row.answered += 1;
	} else {
		row.errors.set(record.result, (row.errors.get(record.result) ?? 0) + 1);
	}

	if (
		record.servedRegion !== undefined &&
		record.servedRegion !== record.homeRegion
	) {
		row.away += 1;
	}

	if (record.firstTokenMs !== undefined) {
		row.firstToken.record(record.firstTokenMs);
	}

	if (record.interTokenMs !== undefined) {
		row.interToken.record(record.interTokenMs);
	}
};

const describe = (key: string, row: Row): ReportRow => {
	const [dimension, ...name] = key.split('/');
	const isCompared = dimension === 'policy';
	return {
		dimension: dimension as ReportRow['dimension'],
		name: name.join('/'),
		requests: row.requests,
		answered: row.answered,
		away: row.away,
		tokens: row.tokens,
		cost: row.cost,
		firstToken: row.firstToken.percentiles(),
		interToken: row.interToken.percentiles(),
		total: row.total.percentiles(),
		errors: Object.fromEntries(row.errors),
		firstTokenHistogram: isCompared ? row.firstToken.encode() : undefined,
		interTokenHistogram: isCompared ? row.interToken.encode() : undefined,
	};
};
