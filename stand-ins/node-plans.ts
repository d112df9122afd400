import type {Address} from '../src/shared/index.ts';
import {freeAddress} from './free-address.ts';
import {openRelay, type Relay} from './relay.ts';

/**
Zones and listening addresses of the nodes of a deployment, by node name.
*/
export type NodePlans = ReadonlyMap<string, NodePlan>;

/**
Zone and listening addresses of one node.
*/
export type NodePlan = {
	readonly availabilityZone: string;
	readonly caller: Address;
	readonly peer: Address;
	readonly administration: Address;
};

/**
Key of the administration API in simulated deployments.
*/
export const administrationKey = 'stand-in-administration-key';

/**
Key that the nodes of a simulated deployment share.
*/
export const peerKey = 'stand-in-peer-key-0123456789';

/**
Assigns names and free addresses to the given number of nodes per zone.
*/
export const planNodes = async (
	availabilityZones: readonly string[],
	nodesPerZone: number,
): Promise<NodePlans> => {
	const plans = new Map<string, NodePlan>();
	for (const availabilityZone of availabilityZones) {
		for (let index = 1; index <= nodesPerZone; index += 1) {
			plans.set(`${availabilityZone}-${index}`, {
				availabilityZone,
				caller: await freeAddress(),
				peer: await freeAddress(),
				administration: await freeAddress(),
			});
		}
	}

	return plans;
};

/**
Opens relays from each zone to the platform and to the nodes of other zones, keyed by their ends:
`zone>platform` and `zone>node`. `delayMs` is the one-way delay between two regions, in milliseconds.
*/
export const openRelays = async (
	plans: NodePlans,
	regionOf: ReadonlyMap<string, string>,
	platformAddress: Address,
	delayMs: number,
): Promise<ReadonlyMap<string, Relay>> => {
	const relays = new Map<string, Relay>();
	const open = async (ends: string, target: Address, delay: number) => {
		const listen = await freeAddress();
		relays.set(ends, await openRelay({listen, target, delayMs: delay}));
	};

	const openToNodes = async (zone: string) => {
		const remoteNodes = [...plans].filter(
			([, {availabilityZone}]) => availabilityZone !== zone,
		);
		for (const [name, {availabilityZone, peer}] of remoteNodes) {
			const isSameRegion =
				regionOf.get(availabilityZone) === regionOf.get(zone);
			await open(`${zone}>${name}`, peer, isSameRegion ? 0 : delayMs);
		}
	};

	for (const zone of regionOf.keys()) {
		await open(`${zone}>platform`, platformAddress, 0);
		await openToNodes(zone);
	}

	return relays;
};

/**
Returns the environment variables that configure one node.
*/
export const environmentOf = (
	name: string,
	plans: NodePlans,
	relays: ReadonlyMap<string, Relay>,
): Readonly<Record<string, string>> => {
	const plan = plans.get(name)!;
	const zone = plan.availabilityZone;
	const translations = [...plans]
		.filter(([, other]) => other.availabilityZone !== zone)
		.map(
			([other, {peer}]) => `${peer}=${relays.get(`${zone}>${other}`)!.address}`,
		);
	const seeds = plans
		.values()
		.filter((other) => other.availabilityZone === zone && other !== plan)
		.toArray();
	return {
		QUILLFORD_NODE_ID: name,
		QUILLFORD_AVAILABILITY_ZONE: zone,
		QUILLFORD_CALLER_ADDRESS: plan.caller,
		QUILLFORD_PEER_ADDRESS: plan.peer,
		QUILLFORD_ADMINISTRATION_ADDRESS: plan.administration,
		QUILLFORD_ADMINISTRATION_KEY: administrationKey,
		QUILLFORD_PEER_KEY: peerKey,
		QUILLFORD_PLATFORM_ADDRESS: relays.get(`${zone}>platform`)!.address,
		QUILLFORD_SEED_PEERS: seeds.map(({peer}) => peer).join(','),
		QUILLFORD_ADDRESS_TRANSLATIONS: translations.join(','),
	};
};
