// Compares what callers received with what backend servers counted.
import type {Deployment} from '../../stand-ins/deployment.ts';
import type {Received} from './caller.ts';

/**
What one backend server counted.
*/
export type ServerCounts = {
	readonly server: string;
	readonly region: string;
	readonly begun: Readonly<Record<string, number>>;
	readonly resumed: Readonly<Record<string, number>>;
	readonly canceled: readonly string[];
	readonly running: number;
};

/**
Regions that each client account allows, by its key.
*/
export type ResidencyOfClients = Readonly<Record<string, readonly string[]>>;

/**
Reads the counts of one server.
*/
export const readCounts = async (
	deployment: Deployment,
	id: string,
): Promise<ServerCounts> => {
	const {document, backendServers} = deployment;
	const {availabilityZone} = document.backendServers.find(
		(server) => server.id === id,
	)!;
	const region = document.regions.find(({availabilityZones}) =>
		availabilityZones.includes(availabilityZone),
	)!.name;
	const counts = (await deployment.control(
		backendServers.get(id)!.address,
		'counts',
	)) as Omit<ServerCounts, 'server' | 'region'>;
	return {server: id, region, ...counts};
};

const allowedRegions = (
	{sending}: Received,
	residencyOfClients: ResidencyOfClients,
): readonly string[] | undefined => {
	const requested = sending.residency?.split(',');
	const allowed = residencyOfClients[sending.key ?? ''];
	return requested && allowed
		? requested.filter((region) => allowed.includes(region))
		: (requested ?? allowed);
};

const runsOf = (counts: readonly ServerCounts[], requestId: string): number => {
	let runs = 0;
	for (const {begun, resumed} of counts) {
		runs += (begun[requestId] ?? 0) + (resumed[requestId] ?? 0);
	}

	return runs;
};

const isOnce = ({sending}: Received) =>
	sending.kind.startsWith('not-repeatable') || sending.kind === 'filing';

/**
Lists everything that a caller was wronged by; an empty list is a clean record.
*/
export const audit = (
	received: readonly Received[],
	counts: readonly ServerCounts[],
	residencyOfClients: ResidencyOfClients,
): readonly string[] => {
	const faults: string[] = [];
	for (const one of received) {
		const {requestId, result, text, expected, outcome, sending} = one;
		const name = `${sending.kind} ${requestId} at ${sending.entry}`;
		const runs = runsOf(counts, requestId);
		if (result === 'complete' && text !== expected) {
			faults.push(
				`${name}: wrong bytes: "${text.slice(0, 80)}" in place of "${expected.slice(0, 80)}"`,
			);
		}

		if (result === 'cut-short') {
			faults.push(`${name}: a stream ended without end mark or error`);
		}

		if (result !== 'complete' && text !== '' && !expected.startsWith(text)) {
			faults.push(`${name}: bytes that are not its own before the error`);
		}

		if (outcome === 'not-run' && runs > 0) {
			faults.push(`${name}: told "not-run" and ran ${runs} times`);
		}

		if (isOnce(one) && runs > 1) {
			faults.push(`${name}: not repeatable and ran ${runs} times`);
		}

		const allowed = allowedRegions(one, residencyOfClients);
		for (const {region, server, begun, resumed} of counts) {
			const isRanHere = (begun[requestId] ?? 0) + (resumed[requestId] ?? 0) > 0;
			if (isRanHere && allowed && !allowed.includes(region)) {
				faults.push(
					`${name}: ran on ${server} in ${region}, allowed are ${allowed.join(', ')}`,
				);
			}
		}
	}

	return faults;
};
