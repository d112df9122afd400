import type {Controller} from '../controllers/index.ts';
import {anyIncarnation} from '../fleet/index.ts';
import {hasRole, type Member} from '../membership/index.ts';
import type {ListedVm} from '../platform/index.ts';
import type {PlatformAnswer} from './configuration-controller.ts';
import type {NodeContext} from './node-context.ts';

/**
Reads the VM list for its zone.
*/
export type VmListController = Controller & {
	/**
	Reads the list once, on every node, not only the one that reads it for its zone.
	*/
	ask(): Promise<PlatformAnswer>;
};

/**
What the controller tells others.
*/
export type VmListListeners = {
	readonly onEntryVms: (entryVms: readonly Member[]) => void;
	readonly onLeaving: (backendServer: string, incarnation: string) => void;
};

/**
Milliseconds between two reads of the list.
*/
export const vmListIntervalMs = 1000;

/**
Builds the controller.
*/
export const createVmListController = (
	context: NodeContext,
	listeners: VmListListeners,
): VmListController => {
	const {membership, fleet, platform} = context;
	let nextAt = 0;
	let isAsking = false;

	const take = (vms: readonly ListedVm[]) => {
		listeners.onEntryVms(
			vms.filter((vm) => vm.kind === 'entry').map((vm) => toMember(vm)),
		);
		for (const vm of vms) {
			if (vm.kind === 'backendServer' && vm.state === 'leaving') {
				listeners.onLeaving(
					vm.id,
					vm.incarnation ?? fleet.incarnationOf(vm.id) ?? anyIncarnation,
				);
			}
		}
	};

	const ask = async (): Promise<PlatformAnswer> => {
		isAsking = true;
		const read = await platform.readVmList();
		isAsking = false;
		if (read.isOk) {
			take(read.value);
		}

		return read.isOk ? 'answered' : 'silent';
	};

	return {
		name: 'vm-list',
		ask,
		tick(now) {
			if (
				isAsking ||
				now < nextAt ||
				!hasRole('vm-list', membership.self(), membership.members())
			) {
				return;
			}

			nextAt = now + vmListIntervalMs;
			void ask();
		},
	};
};

const toMember = (vm: Extract<ListedVm, {kind: 'entry'}>): Member => ({
	id: vm.id,
	availabilityZone: vm.availabilityZone,
	peerAddress: vm.peerAddress,
	callerAddress: vm.callerAddress,
	incarnation: vm.incarnation,
	revision: 0,
	status: vm.state === 'leaving' ? 'leaving' : 'alive',
});
