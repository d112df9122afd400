// Time and allocation of one decision, against the number of workers.
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {BackendServer} from '../src/configuration/index.ts';
import {matchPolicy, orderedPolicies} from '../src/policies/index.ts';
import {createTargetChooser, untried} from '../src/requests/index.ts';
import {createRandom} from '../src/shared/index.ts';
import {
	createLoadedFleet,
	requestOf,
	scaledConfiguration,
} from './model/scaled-configuration.ts';
import {printTable, type Row} from './table.ts';

const rounds = 20_000;

/**
Measures decisions with all workers in the deciding node's zone, the worst case.
*/
export const measureDecisions = (): readonly Row[] => {
	const rows = [11, 100, 700].flatMap((workers) =>
		(
			['round-robin', 'power-of-two', 'prefix-affinity', 'home-first'] as const
		).map((kind) => measure(workers, kind)),
	);
	printTable(rows);
	return rows;
};

const measure = (
	workers: number,
	kind: 'round-robin' | 'power-of-two' | 'prefix-affinity' | 'home-first',
): Row => {
	const configuration = scaledConfiguration({
		workers,
		zones: 1,
		clients: 280,
		policies: 20,
	});
	const fleet = createLoadedFleet(configuration);

	const chooser = createTargetChooser({
		limits: {canSend: () => true, rateOf: () => undefined},
		availabilityZone: 'zone-0',
		fleet,
		random: createRandom(1),
		configuration: () => configuration,
		membersIn: () => [],
		summaryOf: () => undefined,
	});
	const policies = orderedPolicies(configuration);
	const request = requestOf(configuration, kind);
	const decide = (turn: number) => {
		matchPolicy(policies, {
			labels: request.labels,
			clientName: 'client-0',
			session: String(turn),
			wallClock: 0,
		});
		return chooser.choose(
			{...request, prefixKey: String(turn % 97)},
			untried,
			turn / 10,
		);
	};

	for (let turn = 0; turn < rounds / 10; turn += 1) {
		decide(turn);
	}

	const heapBefore = process.memoryUsage().heapUsed;
	const durations: number[] = [];
	for (let turn = 0; turn < rounds; turn += 1) {
		const startedAt = performance.now();
		decide(turn);
		durations.push((performance.now() - startedAt) * 1000);
	}

	durations.sort((left, right) => left - right);
	return {
		benchmark: 'decisions',
		workers,
		strategy: kind,
		medianMicroseconds: durations[rounds / 2]!,
		p99Microseconds: durations[Math.floor(rounds * 0.99)]!,
		heapGrowthBytesPerDecision: Math.max(
			0,
			(process.memoryUsage().heapUsed - heapBefore) / rounds,
		),
	};
};
