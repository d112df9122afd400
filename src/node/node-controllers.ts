import {
	createControllerHost,
	type ControllerHost,
} from '../controllers/index.ts';
import {createPeerMessageCodec} from '../peers/peer-message-codec.ts';
import type {ParsedConfiguration} from '../configuration/index.ts';
import {createConfigurationController} from './configuration-controller.ts';
import {
	createFleetController,
	type FleetController,
} from './fleet-controller.ts';
import {
	createMembershipController,
	type MembershipController,
} from './membership-controller.ts';
import type {NodeCore} from './node-core.ts';
import {
	createRecoveryController,
	type RecoveryController,
} from './recovery-controller.ts';
import type {RequestPath, RequestPathDependencies} from './request-path.ts';
import {createVmListController} from './vm-list-controller.ts';

/**
The controllers that keep the state of a node up to date.
*/
export type NodeControllers = {
	readonly host: ControllerHost;
	readonly membership: MembershipController;
	readonly recovery: RecoveryController;
	readonly fleet: Pick<FleetController, 'recordShutdown'>;
};

/**
Creates the controllers of one node and registers them with their host; none runs before the host starts.
*/
export const createNodeControllers = (
	core: NodeCore,
	path: Pick<
		RequestPath,
		'limits' | 'capacity' | 'inFlight' | 'metrics' | 'backendLimits'
	>,
	{
		quarantine,
		backendLimits,
		statements,
		announcements,
	}: RequestPathDependencies,
): NodeControllers => {
	const {context} = core;
	const {clock, configuration, digests, fleet} = context;
	const {capacity, metrics, inFlight} = path;
	const messageCodec = createPeerMessageCodec(core.sealer);
	const host = createControllerHost(clock, context.logger);
	const fleetController = createFleetController({
		context,
		engines: core.engines,
		limits: path.limits,
		statements,
		enginePollIntervalMs: path.backendLimits.enginePollIntervalMs,
		onCapacity: capacity.notify,
	});
	const membership = createMembershipController(
		context,
		core.codec,
		core.translate,
		{
			onDigests: fleetController.applyDigests,
			onStamp(stamp, from) {
				configurationController.receiveStamp(stamp, from);
			},
			onChanged(member) {
				if (member.status === 'dead') {
					fleet.handle({kind: 'peer-gone', node: member.id}, clock());
				}
			},
			onOtherDatagram(datagram) {
				const message = messageCodec.decode(datagram);
				switch (message?.kind) {
					case 'crashes':
					case 'quarantine':
					case 'served': {
						quarantine.receive(message, clock());
						break;
					}

					case 'backend-limits': {
						backendLimits.receive(message, clock());
						break;
					}

					// Messages that only gateways use, and datagrams that cannot be decoded.
					case 'reading':
					case 'node':
					case 'zone':
					case 'totals':
					case 'servers-leaving':
					case 'demand-node':
					case 'demand-zone':
					case 'demand-totals':
					case 'demand-regions':
					case 'node-capacities':
					case 'stream-origins':
					case 'stream-origin-query':
					case 'stream-origins-unknown':
					case 'refusal-limits':
					case 'slot-requests':
					case 'slot-grants':
					case undefined:
				}
			},
		},
	);
	const configurationController = createConfigurationController(context, {
		onAccepted(parsed: ParsedConfiguration) {
			fleetController.applyConfiguration(parsed);
			membership.handle({kind: 'announce'});
		},
	});
	const vmListController = createVmListController(context, {
		onEntryVms(entryVms) {
			membership.handle({kind: 'vm-list', entryVms});
		},
		onLeaving: fleetController.recordShutdown,
	});
	const recovery = createRecoveryController({
		context,
		async queryPlatform() {
			const answers = await Promise.all([
				configurationController.queryPlatform(),
				vmListController.queryPlatform(),
			]);
			return answers.includes('silent') ? 'silent' : 'answered';
		},
		onMembers(members) {
			membership.handle({kind: 'state', members});
		},
		onDigests(entries) {
			fleetController.applyDigests(digests.apply(entries, clock()));
		},
		async onStamp(stamp, from) {
			if (!configuration.isAhead(stamp)) {
				return;
			}

			const read = await context.peers.readConfiguration(from);
			if (read.isOk && read.value !== undefined) {
				configurationController.offer(read.value, 'peer');
			}
		},
	});
	// Whether any server had a limit at the last update of the fleet.
	let hadLimits = false;
	const updateLimits = (now: number) => {
		backendLimits.tick(now);
		const hasLimits = backendLimits.hasAny();
		if (hasLimits || hadLimits) {
			fleet.handle({kind: 'limited', backendServers: limitedServerIds()}, now);
			// A rate-limited server regains capacity as time passes, even if no request ends.
			capacity.notify();
		}

		hadLimits = hasLimits;
	};

	const limitedServerIds = (): ReadonlySet<string> =>
		new Set(
			fleet
				.states(clock())
				.filter((server) => path.backendLimits.rateOf(server) !== undefined)
				.map(({id}) => id),
		);

	const periodicTasks = {
		name: 'waiting',
		tick(now: number) {
			quarantine.tick(now);
			announcements.tick(now);
			updateLimits(now);
			capacity.expire(now);
			metrics.gauge('in_flight', inFlight.count());
			metrics.gauge('requests_quarantined', quarantine.quarantined(now));
			metrics.gauge('servers_limited', backendLimits.limitedServers());
			metrics.gauge('servers_leaving', announcements.leavingServers());
			metrics.gauge('servers_resting', announcements.serversInBackoff(now));
		},
	};
	for (const controller of [
		membership,
		vmListController,
		configurationController,
		fleetController,
		recovery,
		periodicTasks,
	]) {
		host.add(controller);
	}

	return {host, membership, recovery, fleet: fleetController};
};
