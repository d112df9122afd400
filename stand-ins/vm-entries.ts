import type {ConfigurationDocument} from './configuration-document.ts';
import type {NodePlans} from './node-plans.ts';

/**
Entry of the VM list that the simulated platform serves.
*/
export type VmEntry = {
	readonly kind: 'entry' | 'backendServer';
	readonly id: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	readonly peerAddress?: string;
	readonly callerAddress?: string;
};

/**
Returns the VM list of a deployment: first the entry nodes, then the backend servers, all in state `live`.
*/
export const vmEntriesOf = (
	plans: NodePlans,
	{backendServers}: ConfigurationDocument,
): readonly VmEntry[] => {
	const entries: VmEntry[] = [...plans].map(([id, plan]) => ({
		kind: 'entry',
		id,
		availabilityZone: plan.availabilityZone,
		state: 'live',
		peerAddress: plan.peer,
		callerAddress: plan.caller,
	}));
	const servers: VmEntry[] = backendServers.map(({id, availabilityZone}) => ({
		kind: 'backendServer',
		id,
		availabilityZone,
		state: 'live',
	}));
	return [...entries, ...servers];
};
