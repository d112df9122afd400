import type {Controller} from '../controllers/index.ts';
import {anyIncarnation} from '../fleet/index.ts';
import {hasRole, type Member} from '../membership/index.ts';
import type {VmListEntry} from '../platform/index.ts';
import type {PlatformAnswer} from './configuration-controller.ts';
import type {NodeContext} from './node-context.ts';

/**
Reads the VM list from the platform on behalf of the zone.
*/
export type VmListController = Controller & {
	/**
	Reads the list once, on any node, not only on those that read it for their zone.
	*/
	queryPlatform(): Promise<PlatformAnswer>;
};

/**
Callbacks of the controller.
*/
export type VmListListeners = {
	readonly onEntryVms: (entryVms: readonly Member[]) => void;
	readonly onLeaving: (backendServer: string, incarnation: string) => void;
};

/**
Interval between two reads of the list, in milliseconds.
*/
export const vmListIntervalMs = 1000;

/**
Creates the controller.
*/
export const createVmListController = (
	context: NodeContext,
	listeners: VmListListeners,
): VmListController => {
	const {membership, fleet, platform} = context;
	let nextAt = 0;
	let isQuerying = false;

	const applyList = (vms: readonly VmListEntry[]) => {
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

	const queryPlatform = async (): Promise<PlatformAnswer> => {
		isQuerying = true;
		const read = await platform.readVmList();
		isQuerying = false;
		if (read.isOk) {
			applyList(read.value);
		}

		return read.isOk ? 'answered' : 'silent';
	};

	return {
		name: 'vm-list',
		queryPlatform,
		tick(now) {
			if (
				isQuerying ||
				now < nextAt ||
				!hasRole('vm-list', membership.self(), membership.members())
			) {
				return;
			}

			nextAt = now + vmListIntervalMs;
			void queryPlatform();
		},
	};
};

const toMember = (vm: Extract<VmListEntry, {kind: 'entry'}>): Member => ({
	id: vm.id,
	availabilityZone: vm.availabilityZone,
	peerAddress: vm.peerAddress,
	callerAddress: vm.callerAddress,
	incarnation: vm.incarnation,
	revision: 0,
	status: vm.state === 'leaving' ? 'leaving' : 'alive',
});
