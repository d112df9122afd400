import type {ConfigurationDocument} from './configuration-document.ts';
import type {NodePlans} from './node-plans.ts';

/**
One VM in the stand-in's list.
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
The VMs of a deployment, all of them live: those of its entry nodes, then those of its backend servers.
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
