import type {BackendFleet, UpstreamClient} from '../../backends/index.ts';
import type {Logger} from '../../logging/index.ts';
import {
	incarnationIdOf,
	type MirrorChange,
	type RegistryMirror,
} from '../../registry/index.ts';
import type {CallerLimits} from '../../routes/index.ts';
import type {PlacementView} from '../choosing/index.ts';

/**
Options of `createRegistryChanges`.
*/
export type RegistryChangesOptions = {
	readonly mirror: RegistryMirror;
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	readonly placement: PlacementView;
	readonly localRegion: string;
	readonly regionOf: (availabilityZone: string) => string;
	readonly clock: () => number;
	readonly logger: Logger;
	/**
	Called with the caller limits of routes that come into force.
	*/
	readonly onLimits: (limits: CallerLimits) => void;
	/**
	Called when a server of this region is no longer used. `isPlanned` is true if it is leaving or its zone is evacuated, and
	false if its entry was removed or states a later start.
	*/
	readonly onServerGone: (incarnationId: string, isPlanned: boolean) => void;
};

/**
Creates the function that is called with changes once the mirror has applied them. It updates the fleet and the placement
view.
*/
export const createRegistryChanges = (
	options: RegistryChangesOptions,
): ((changes: readonly MirrorChange[]) => void) => {
	const {fleet, placement} = options;
	return (changes) => {
		for (const change of changes) {
			logChange(options, change);
		}

		placement.refresh();
		syncFleet(options);
		// After `syncFleet`, which adds the servers of a zone whose evacuation has ended.
		fleet.markPossiblyCold(serversOfRestoredZones(fleet, changes));
	};
};

const logChange = (
	{mirror, logger, onLimits}: RegistryChangesOptions,
	change: MirrorChange,
): void => {
	switch (change.kind) {
		case 'routes': {
			const limits = mirror.routes()?.document.limits;
			if (limits) {
				onLimits(limits);
			}

			logger.info({version: change.version}, 'routes in force');
			return;
		}

		case 'server': {
			const {id, isUsable} = change;
			const server = mirror.servers().get(id)?.server;
			logger.info(
				{
					server: id,
					isUsable,
					service: server?.service,
					availabilityZone: server?.availabilityZone,
					softwareVersion: server?.softwareVersion,
				},
				'backend server changed',
			);
			return;
		}

		case 'evacuation': {
			const {availabilityZone, isActive} = change;
			logger.info({availabilityZone, isActive}, 'evacuation changed');
			return;
		}

		case 'restored': {
			const {kind, from, to, ...facts} = change;
			logger.warn(
				{
					era: to.era,
					revision: to.revision,
					eraBefore: from.era,
					revisionBefore: from.revision,
					...facts,
				},
				'registry was restored from an earlier copy',
			);
		}
	}
};

const syncFleet = ({
	mirror,
	fleet,
	client,
	localRegion,
	regionOf,
	clock,
	logger,
	onServerGone,
}: RegistryChangesOptions): void => {
	const usable = [...mirror.servers()].filter(
		([, {server}]) =>
			!server.isLeaving &&
			regionOf(server.availabilityZone) === localRegion &&
			!mirror.isEvacuated(server.availabilityZone),
	);
	const incarnationIds = new Map(
		fleet.ids().map((id) => [id, incarnationIdOf(fleet.server(id)!)]),
	);
	const gone = new Set(fleet.ids());
	const restarted = fleet.sync(new Map(usable), clock());
	for (const [id] of usable) {
		gone.delete(id);
	}

	if (restarted.length > 0) {
		logger.info({servers: restarted.join(' ')}, 'backend servers restarted');
	}

	// Connections to an earlier incarnation are useless, and the address of the server may have changed.
	for (const id of [...gone, ...restarted]) {
		client.forget(`server ${id}`);
		const now = mirror.servers().get(id);
		const incarnationId = incarnationIds.get(id)!;
		onServerGone(
			incarnationId,
			now !== undefined && incarnationIdOf(now.server) === incarnationId,
		);
	}
};

// Servers of a zone whose evacuation has ended may be cold again.
const serversOfRestoredZones = (
	fleet: BackendFleet,
	changes: readonly MirrorChange[],
): readonly string[] => {
	const restoredZones = new Set(
		changes.flatMap((change) =>
			change.kind === 'evacuation' && !change.isActive
				? [change.availabilityZone]
				: [],
		),
	);
	return restoredZones.size === 0
		? []
		: fleet
				.ids()
				.filter((id) =>
					restoredZones.has(fleet.server(id)?.availabilityZone ?? ''),
				);
};
