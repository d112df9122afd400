import {type Random, assertNever} from '../shared/index.ts';
import {hasPrecedence, type Member} from './member.ts';
import {createMemberEntries} from './member-entries.ts';
import type {
	MembershipAction,
	MembershipEvent,
	MembershipMessage,
} from './membership-event.ts';
import {
	defaultMembershipParameters,
	type MembershipParameters,
} from './membership-parameters.ts';
import {createProbeRound} from './probe-round.ts';

// One in this many probes outside the zone goes to a member considered dead.
const deadEvery = 3;

/**
The identity and the parameters of a node's membership.
*/
export type MembershipOptions = {
	readonly self: Member;
	readonly random: Random;
	readonly parameters?: MembershipParameters;
};

/**
A node's view of the other nodes.
*/
export type Membership = {
	handle(event: MembershipEvent, now: number): readonly MembershipAction[];
	self(): Member;
	/**
	All known members but this node, dead ones included.
	*/
	members(): readonly Member[];
	/**
	Members that can receive work or requests for state: alive or suspect, neither leaving nor dead.
	*/
	usable(): readonly Member[];
	find(id: string): Member | undefined;
	/**
	When the last message of any other node was received.
	*/
	lastReceivedAt(): number | undefined;
};

type Probe = {
	readonly target: string;
	readonly sequence: number;
	readonly sentAt: number;
	readonly isIndirect: boolean;
};

type Relay = {
	readonly requester: string;
	readonly requesterSequence: number;
	readonly expiresAt: number;
};

/**
 Creates the failure detector. Each interval, one member is probed: directly first, then
 indirectly through other members. A member that does not answer becomes suspect, and dead after
 the suspicion timeout, unless it refutes the suspicion by an update with a higher revision. The
 number of messages per node does not grow with the fleet.
 */
export const createMembership = (options: MembershipOptions): Membership => {
	const parameters = options.parameters ?? defaultMembershipParameters;
	const {random} = options;
	const entries = createMemberEntries();
	const probes = new Map<string, Probe>();
	const relays = new Map<number, Relay>();
	let {self} = options;
	let sequence = 0;
	let round = 0;
	let nextProbeAt = 0;
	let lastReceivedAt: number | undefined;
	let outsideRound = 0;

	const learn = (member: Member, now: number): readonly MembershipAction[] => {
		if (member.id === self.id) {
			return refute(member);
		}

		const known = entries.find(member.id);
		if (known && !hasPrecedence(member, known)) {
			return [];
		}

		entries.put(member, now);
		return [{kind: 'changed', member}];
	};

	// A suspicion of this process is refuted by a higher revision. An update about an earlier process
	// with this id needs no answer, because the later incarnation wins anyway.
	const refute = (member: Member): readonly MembershipAction[] => {
		// Only an earlier process with this id can have a later start time: the system clock went back in
		// between. This process is the live one, so it moves its incarnation past that start time.
		if (member.incarnation > self.incarnation) {
			self = {...self, incarnation: member.incarnation + 1};
			return [];
		}

		const isSuspicion = member.status === 'suspect' || member.status === 'dead';
		if (
			isSuspicion &&
			member.incarnation === self.incarnation &&
			member.revision >= self.revision
		) {
			self = {...self, revision: member.revision + 1};
		}

		return [];
	};

	const pickUpdates = () => entries.takeUpdates(parameters.maximumUpdates);

	// Includes the sender's view of the receiver if that is suspect or dead, so that a wrongly
	// suspected member learns of it at once and can refute it.
	const updatesFor = (target: Member): readonly Member[] => {
		const belief = entries.find(target.id);
		const isSuspected =
			belief && (belief.status === 'suspect' || belief.status === 'dead');
		return isSuspected ? [belief, ...pickUpdates()] : pickUpdates();
	};

	const send = (
		to: Member,
		kind: 'ping' | 'acknowledge',
		number: number,
	): MembershipAction => ({
		kind: 'send',
		to,
		message: {kind, sequence: number, from: self, updates: updatesFor(to)},
	});

	const isProbeable = ({status}: Member) => status !== 'dead';

	const select = (isWanted: (member: Member) => boolean): Member[] =>
		entries.all().filter((member) => isWanted(member));

	const isNear = ({availabilityZone}: Member) =>
		availabilityZone === self.availabilityZone;

	const near = createProbeRound(
		() => select((member) => isNear(member) && isProbeable(member)),
		random,
	);
	const far = createProbeRound(
		() => select((member) => !isNear(member) && isProbeable(member)),
		random,
	);
	const dead = createProbeRound(
		() => select((member) => !isProbeable(member)),
		random,
	);

	const nextTarget = (): Member | undefined => {
		round += 1;
		return round % parameters.crossZoneEvery === 0
			? (nextOutside() ?? near.next())
			: (near.next() ?? nextOutside());
	};

	// Dead members are probed now and then, so that zones find each other after a partition.
	const nextOutside = (): Member | undefined => {
		outsideRound += 1;
		return outsideRound % deadEvery === 0
			? (dead.next() ?? far.next())
			: (far.next() ?? dead.next());
	};

	const probe = (target: Member, now: number): MembershipAction => {
		sequence += 1;
		probes.set(target.id, {
			target: target.id,
			sequence,
			sentAt: now,
			isIndirect: false,
		});
		return send(target, 'ping', sequence);
	};

	const askOthers = (expired: Probe): readonly MembershipAction[] => {
		const proxies = usable().filter(({id}) => id !== expired.target);
		return drawSome(proxies, parameters.indirectProbes).map((proxy) => ({
			kind: 'send',
			to: proxy,
			message: {
				kind: 'ping-request',
				sequence: expired.sequence,
				from: self,
				target: expired.target,
				updates: [],
			},
		}));
	};

	const usable = (): Member[] =>
		select(({status}) => status === 'alive' || status === 'suspect');

	const checkProbe = (
		pending: Probe,
		now: number,
	): readonly MembershipAction[] => {
		const waited = now - pending.sentAt;
		const member = entries.find(pending.target);
		if (!member) {
			probes.delete(pending.target);
			return [];
		}

		if (!pending.isIndirect && waited >= parameters.acknowledgeTimeoutMs) {
			probes.set(pending.target, {...pending, isIndirect: true});
			return askOthers(pending);
		}

		if (
			waited <
			2 * parameters.acknowledgeTimeoutMs + parameters.acknowledgeTimeoutMs / 2
		) {
			return [];
		}

		probes.delete(pending.target);
		return member.status === 'alive'
			? learn({...member, status: 'suspect'}, now)
			: [];
	};

	const expireSuspicions = (now: number): readonly MembershipAction[] =>
		entries
			.since('suspect', now - parameters.suspicionTimeoutMs)
			.flatMap((member) => learn({...member, status: 'dead'}, now));

	const forgetDead = (now: number) => {
		for (const {id} of entries.since(
			'dead',
			now - parameters.deadRetentionMs,
		)) {
			entries.forget(id);
		}
	};

	const tick = (now: number): readonly MembershipAction[] => {
		const actions = probes
			.values()
			.flatMap((pending) => checkProbe(pending, now))
			.toArray();
		actions.push(...expireSuspicions(now));
		forgetDead(now);
		for (const [key, {expiresAt}] of relays) {
			if (expiresAt <= now) {
				relays.delete(key);
			}
		}

		if (now >= nextProbeAt) {
			nextProbeAt = now + parameters.probeIntervalMs;
			const target = nextTarget();
			if (target && !probes.has(target.id)) {
				actions.push(probe(target, now));
			}
		}

		return actions;
	};

	const receive = (
		message: MembershipMessage,
		now: number,
	): readonly MembershipAction[] => {
		lastReceivedAt = now;
		const actions = [message.from, ...message.updates].flatMap((member) =>
			learn(member, now),
		);
		switch (message.kind) {
			case 'ping': {
				return [
					...actions,
					send(message.from, 'acknowledge', message.sequence),
				];
			}

			case 'acknowledge': {
				return [...actions, ...acknowledged(message.from, message.sequence)];
			}

			case 'ping-request': {
				return [
					...actions,
					...relayProbe(message.from, message.sequence, message.target, now),
				];
			}

			default: {
				return assertNever(message);
			}
		}
	};

	const acknowledged = (
		from: Member,
		number: number,
	): readonly MembershipAction[] => {
		probes.delete(from.id);
		const relay = relays.get(number);
		const requester = relay && entries.find(relay.requester);
		if (!relay || !requester) {
			return [];
		}

		relays.delete(number);
		// The acknowledgement carries the target's own update, from which the requester learns that it is alive.
		return [
			{
				kind: 'send',
				to: requester,
				message: {
					kind: 'acknowledge',
					sequence: relay.requesterSequence,
					from,
					updates: [],
				},
			},
		];
	};

	const relayProbe = (
		requester: Member,
		requesterSequence: number,
		targetId: string,
		now: number,
	): readonly MembershipAction[] => {
		const target = entries.find(targetId);
		if (!target) {
			return [];
		}

		sequence += 1;
		relays.set(sequence, {
			requester: requester.id,
			requesterSequence,
			expiresAt: now + 4 * parameters.acknowledgeTimeoutMs,
		});
		return [send(target, 'ping', sequence)];
	};

	const readVmList = (
		listed: readonly Member[],
		now: number,
	): readonly MembershipAction[] =>
		listed.flatMap((vm) => {
			const known = entries.find(vm.id);
			if (vm.id === self.id) {
				return [];
			}

			if (!known) {
				return learn(vm, now);
			}

			// The list lags behind. It can mark the process that it lists as leaving, but never revive one.
			return vm.status === 'leaving' &&
				known.status === 'alive' &&
				vm.incarnation >= known.incarnation
				? learn({...known, status: 'leaving'}, now)
				: [];
		});

	const drawSome = (members: Member[], count: number): readonly Member[] =>
		Array.from({length: Math.min(count, members.length)}, () =>
			members.splice(random.below(members.length), 1),
		).flat();

	const announce = (): readonly MembershipAction[] => {
		const inZone = usable().filter(
			({availabilityZone}) => availabilityZone === self.availabilityZone,
		);
		const outside = usable().filter(
			({availabilityZone}) => availabilityZone !== self.availabilityZone,
		);
		return [...drawSome(inZone, 3), ...drawSome(outside, 1)].map((member) =>
			send(member, 'ping', 0),
		);
	};

	const leave = (): readonly MembershipAction[] => {
		self = {...self, status: 'leaving', revision: self.revision + 1};
		return usable().map((member) => send(member, 'ping', 0));
	};

	return {
		handle(event, now) {
			switch (event.kind) {
				case 'tick': {
					return tick(now);
				}

				case 'message': {
					return receive(event.message, now);
				}

				case 'vm-list': {
					return readVmList(event.entryVms, now);
				}

				case 'state': {
					lastReceivedAt = now;
					return event.members.flatMap((member) => learn(member, now));
				}

				case 'announce': {
					return announce();
				}

				case 'leave': {
					return leave();
				}

				default: {
					return assertNever(event);
				}
			}
		},
		self: () => self,
		members: entries.all,
		usable,
		find: entries.find,
		lastReceivedAt: () => lastReceivedAt,
	};
};
