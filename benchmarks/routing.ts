// Compares strategies in virtual time, with the decisions of the real nodes and a model of the engines.
import type {Strategy} from '../src/configuration/index.ts';
import {
	runModel,
	type RunFigures,
	type Situation,
} from './model/fleet-model.ts';
import {printTable, type Row} from './table.ts';

const seeds = [1, 2, 3];
const seconds = 45;
const even = () => 0.6;

/**
The situations that the strategies are compared in.
*/
export const situations: readonly Situation[] = [
	{name: 'even load', loadOf: even, reportLagMs: 300},
	{
		name: 'one region at its peak',
		loadOf: (zone) => (zone === 0 ? 1.4 : 0.3),
		reportLagMs: 300,
	},
	{
		name: 'one engine slowed tenfold',
		loadOf: () => 0.45,
		reportLagMs: 300,
		script({timeline, enginesIn}) {
			timeline.schedule(3000, () => {
				enginesIn(0)[0]!.setSlowness(10);
			});
		},
	},
	{
		name: 'a region lost and returned cold',
		loadOf: () => 0.45,
		reportLagMs: 300,
		script({timeline, enginesIn}) {
			timeline.schedule(15_000, () => {
				for (const engine of enginesIn(0)) {
					engine.setDown(true);
					engine.restart();
				}
			});
			timeline.schedule(30_000, () => {
				for (const engine of enginesIn(0)) {
					engine.setDown(false);
				}
			});
		},
	},
	...[100, 1000, 5000].map((reportLagMs): Situation => ({
		name: `reports ${reportLagMs / 1000} s late`,
		loadOf: () => 0.8,
		reportLagMs,
	})),
	{
		name: 'retry storm, budget',
		loadOf: () => 0.7,
		reportLagMs: 300,
		script: refuseInZoneZero,
	},
	{
		name: 'retry storm, no budget',
		loadOf: () => 0.7,
		reportLagMs: 300,
		hasBudget: false,
		script: refuseInZoneZero,
	},
	...[0.3, 0.45, 0.6].flatMap((load): readonly Situation[] => [
		{
			name: `long prompts together, ${load}`,
			loadOf: () => load,
			reportLagMs: 300,
			isSplit: false,
		},
		{
			name: `long prompts apart, ${load}`,
			loadOf: () => load,
			reportLagMs: 300,
			isSplit: true,
		},
	]),
	{
		name: 'clients within limits',
		loadOf: () => 0.35,
		reportLagMs: 300,
		greed: 0,
	},
	{
		name: 'one client at ten times its limit',
		loadOf: () => 0.7,
		reportLagMs: 300,
		greed: 1,
	},
];

function refuseInZoneZero({
	timeline,
	enginesIn,
}: Parameters<NonNullable<Situation['script']>>[0]): void {
	timeline.schedule(10_000, () => {
		for (const engine of enginesIn(0)) {
			engine.setDown(true);
			engine.restart();
		}
	});
}

const strategies: readonly Strategy[] = [
	{kind: 'round-robin'},
	{kind: 'least-loaded'},
	{kind: 'power-of-two'},
	{kind: 'prefix-affinity', loadBound: 1.5},
	{kind: 'cheapest', firstTokenObjectiveMs: 400},
	{
		kind: 'home-first',
		overflowAtLoad: 0.9,
		advantage: 1.5,
		maximumAwayShare: 0.5,
	},
];

const mean = (runs: readonly RunFigures[], figure: keyof RunFigures): number =>
	runs.reduce((sum, run) => sum + run[figure], 0) / runs.length;

/**
Runs every strategy in every situation, for both deployments.
*/
export const measureRouting = (only?: string): readonly Row[] => {
	const rows: Row[] = [];
	const chosen = situations.filter(
		({name}) => only === undefined || name.includes(only),
	);
	for (const deployment of ['ajoke', 'lindner'] as const) {
		for (const situation of chosen) {
			for (const strategy of strategies) {
				const runs = seeds.map((seed) =>
					runModel({deployment, situation, strategy, seed, seconds}),
				);
				rows.push({
					benchmark: 'routing',
					deployment,
					situation: situation.name,
					strategy: strategy.kind,
					p50: mean(runs, 'firstP50'),
					p95: mean(runs, 'firstP95'),
					p99: mean(runs, 'firstP99'),
					awayPercent: 100 * mean(runs, 'awayShare'),
					cost: mean(runs, 'costPerThousand'),
					answeredPercent: 100 * mean(runs, 'answeredShare'),
					attempts: mean(runs, 'attemptsPerRequest'),
					...(situation.isSplit !== undefined && {
						lightP99: mean(runs, 'lightP99'),
						heavyP99: mean(runs, 'heavyP99'),
					}),
					...(situation.greed !== undefined && {
						modestP99: mean(runs, 'modestP99'),
						modestAnsweredPercent: 100 * mean(runs, 'modestAnsweredShare'),
					}),
				});
			}
		}
	}

	printTable(rows);
	return rows;
};
