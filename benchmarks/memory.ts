// Memory of what a node keeps, for each thing that it keeps.
import process from 'node:process';
import type {BackendServer, Configuration} from '../src/configuration/index.ts';
import {createClientLimits} from '../src/limits/index.ts';
import {createMembership, type Member} from '../src/membership/index.ts';
import {createRecorder} from '../src/reporting/index.ts';
import {createPermits} from '../src/requests/index.ts';
import {createRandom} from '../src/shared/index.ts';
import {
	createLoadedFleet,
	scaledConfiguration,
} from './model/scaled-configuration.ts';
import {printTable, type Row} from './table.ts';

const collect = (): number => {
	const {gc} = globalThis as {gc?: () => void};
	gc?.();
	gc?.();
	return process.memoryUsage().heapUsed;
};

// The things built are held until after the measurement.
const measure = (thing: string, count: number, build: () => unknown): Row => {
	const before = collect();
	const held = build();
	const bytes = Math.max(0, collect() - before);
	return {
		benchmark: 'memory',
		thing,
		count,
		bytesEach: bytes / count,
		isHeld: held === undefined ? 'no' : 'yes',
	};
};

const scale = {workers: 700, zones: 14, clients: 280, policies: 20};

const member = (index: number): Member => ({
	id: `node-${index}`,
	availabilityZone: `zone-${index % 14}`,
	peerAddress: `10.0.0.${index}:8001`,
	callerAddress: `10.0.0.${index}:8000`,
	incarnation: 1_796_000_000_000 + index,
	revision: 0,
	status: 'alive',
});

/**
Measures heap growth; run with `--expose-gc` for steady figures.
*/
export const measureMemory = (): readonly Row[] => {
	const configuration: Configuration = scaledConfiguration(scale);
	const rows = [
		measure('configuration text of 700 workers, 280 clients', 1, () =>
			JSON.stringify(scaledConfiguration(scale)),
		),
		measure('configuration of 700 workers, 280 clients', 1, () =>
			scaledConfiguration(scale),
		),
		measure('worker in the fleet', 700, () => {
			const fleet = createLoadedFleet(configuration);

			return fleet;
		}),
		measure('client account with demand', 280, () => {
			const limits = createClientLimits(() => 9);
			for (const client of configuration.clients) {
				limits.admit(client, 0);
			}

			return limits;
		}),
		measure('member', 380, () => {
			const membership = createMembership({
				self: member(0),
				random: createRandom(1),
			});
			membership.handle(
				{
					kind: 'state',
					members: Array.from({length: 380}, (_, index) => member(index + 1)),
				},
				0,
			);
			return membership;
		}),
		measure('report row (policy, client or region)', 304, () => {
			const recorder = createRecorder('node');
			for (let index = 0; index < 280; index += 1) {
				recorder.record(
					{
						client: `client-${index}`,
						policy: `policy-${index % 20}`,
						labels: {},
						homeRegion: `region-${index % 4}`,
						servedRegion: 'region-0',
						result: 'answered',
						firstTokenMs: 100,
						interTokenMs: 10,
						totalMs: 500,
						tokens: 100,
						cost: 1,
						at: 0,
					},
					[],
				);
			}

			return recorder;
		}),
		measure('spent permit', 10_000, () => {
			const permits = createPermits<string>({
				node: 'node',
				epoch: '00',
				secret: 'secret',
			});
			for (let index = 0; index < 10_000; index += 1) {
				const requestId = permits.issue(index);
				permits.redeem(
					{requestId, clientName: 'client', bodyDigest: `digest-${index}`},
					index,
				);
				permits.end(requestId, 'ran', undefined);
			}

			return permits;
		}),
	];
	printTable(rows);
	return rows;
};
