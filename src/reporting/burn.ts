import type {Objective} from '../configuration/index.ts';
import {isSelected, type Labels} from '../policies/index.ts';

/**
Properties of a finished request that objectives are evaluated on.
*/
export type ObjectiveSample = {
	readonly labels: Labels;
	/**
	Whether the caller received a complete response.
	*/
	readonly isAnswered: boolean;
	readonly firstTokenMs: number | undefined;
	readonly at: number;
};

/**
Burn rate of one objective's error budget.
*/
export type BurnReport = {
	readonly objective: string;
	readonly target: number;
	/**
	Burn rate over each window. A rate of 1 uses up the budget exactly at the end of its period.
	*/
	readonly windows: ReadonlyArray<{
		readonly minutes: number;
		readonly requests: number;
		readonly burn: number;
	}>;
	readonly verdict: 'ok' | 'slow-burn' | 'fast-burn';
};

/**
Tracks error budgets over several windows.
*/
export type BurnTracker = {
	record(objectives: readonly Objective[], sample: ObjectiveSample): void;
	report(objectives: readonly Objective[], now: number): readonly BurnReport[];
};

/**
Windows over which the burn rate is computed, in minutes.
*/
export const burnWindowMinutes = [5, 60, 360] as const;

/**
Burn rate that the short and the middle window must both reach for a fast burn.
*/
export const fastBurnRate = 14;

/**
Burn rate that the middle and the long window must both reach for a slow burn.
*/
export const slowBurnRate = 3;

type Bucket = {readonly minute: number; good: number; bad: number};

const millisecondsPerMinute = 60_000;

/**
Creates a tracker that keeps one bucket per objective and minute.
*/
export const createBurnTracker = (): BurnTracker => {
	const buckets = new Map<string, Bucket[]>();

	const bucketFor = (objective: string, at: number): Bucket => {
		const minute = Math.floor(at / millisecondsPerMinute);
		const list = buckets.get(objective) ?? [];
		const last = list.at(-1);
		if (last?.minute === minute) {
			return last;
		}

		const bucket = {minute, good: 0, bad: 0};
		const oldest = minute - burnWindowMinutes.at(-1)!;
		buckets.set(objective, [
			...list.filter((known) => known.minute > oldest),
			bucket,
		]);
		return bucket;
	};

	const windowOf = (objective: Objective, minutes: number, now: number) => {
		const from = Math.floor(now / millisecondsPerMinute) - minutes;
		const recent = (buckets.get(objective.name) ?? []).filter(
			({minute}) => minute > from,
		);
		const good = recent.reduce((sum, bucket) => sum + bucket.good, 0);
		const bad = recent.reduce((sum, bucket) => sum + bucket.bad, 0);
		const requests = good + bad;
		const burn = requests === 0 ? 0 : bad / requests / (1 - objective.target);
		return {minutes, requests, burn};
	};

	return {
		record(objectives, sample) {
			for (const objective of objectives) {
				if (!isSelected(objective.requests, sample.labels)) {
					continue;
				}

				const bucket = bucketFor(objective.name, sample.at);
				bucket[isGood(objective, sample) ? 'good' : 'bad'] += 1;
			}
		},
		report: (objectives, now) =>
			objectives.map((objective) => {
				const windows = burnWindowMinutes.map((minutes) =>
					windowOf(objective, minutes, now),
				);
				return {
					objective: objective.name,
					target: objective.target,
					windows,
					verdict: verdictOf(windows),
				};
			}),
	};
};

const isGood = (objective: Objective, sample: ObjectiveSample): boolean => {
	switch (objective.kind) {
		case 'availability': {
			return sample.isAnswered;
		}

		case 'first-token': {
			return (
				sample.isAnswered &&
				(sample.firstTokenMs ?? 0) <= (objective.thresholdMs ?? 0)
			);
		}
	}
};

const verdictOf = (
	windows: ReadonlyArray<{readonly burn: number}>,
): BurnReport['verdict'] => {
	const [short, middle, long] = windows;
	if (short!.burn >= fastBurnRate && middle!.burn >= fastBurnRate) {
		return 'fast-burn';
	}

	return middle!.burn >= slowBurnRate && long!.burn >= slowBurnRate
		? 'slow-burn'
		: 'ok';
};
