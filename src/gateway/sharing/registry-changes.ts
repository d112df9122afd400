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
What takes in changes of the registry.
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
	Told the bounds on callers of routes that come into force.
	*/
	readonly onLimits: (limits: CallerLimits) => void;
	/**
	Told that a server of the own region is not used any more: because it leaves or its zone is evacuated, or because
	its entry has gone or names a later start.
	*/
	readonly onServerGone: (life: string, isPlanned: boolean) => void;
};

/**
Builds what is called with changes once the mirror has them: it brings the fleet and the view of
placement up to date.
*/
export const createRegistryChanges = (
	options: RegistryChangesOptions,
): ((changes: readonly MirrorChange[]) => void) => {
	const {fleet, placement} = options;
	return (changes) => {
		for (const change of changes) {
			noteChange(options, change);
		}

		placement.refresh();
		syncFleet(options);
		// After the fleet has its servers, for those of a zone taken back come in anew.
		fleet.markPossiblyCold(serversTakenBack(fleet, changes));
	};
};

const noteChange = (
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
			logger.info({server: id, isUsable}, 'backend server changed');
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
				'registry came back from an earlier copy',
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
	const lives = new Map(
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

	// Connections to an earlier life lead nowhere, and its address may have changed.
	for (const id of [...gone, ...restarted]) {
		client.forget(`server ${id}`);
		const now = mirror.servers().get(id);
		const life = lives.get(id)!;
		onServerGone(
			life,
			now !== undefined && incarnationIdOf(now.server) === life,
		);
	}
};

// Servers of a zone that is taken back may have turned cold meanwhile.
const serversTakenBack = (
	fleet: BackendFleet,
	changes: readonly MirrorChange[],
): readonly string[] => {
	const zonesBack = new Set(
		changes.flatMap((change) =>
			change.kind === 'evacuation' && !change.isActive
				? [change.availabilityZone]
				: [],
		),
	);
	return zonesBack.size === 0
		? []
		: fleet
				.ids()
				.filter((id) =>
					zonesBack.has(fleet.server(id)?.availabilityZone ?? ''),
				);
};
