import type {TestContext} from 'node:test';
import type {Member} from '../../src/membership/index.ts';
import type {StreamOriginMessage} from '../../src/peers/stream-origin-messages.ts';
import {
	createOriginHolders,
	createStreamOrigins,
	type StreamOrigin,
	type StreamOrigins,
} from '../../src/stream-origins/index.ts';

/**
Nodes that keep origins, connected by a simulated network with simulated timers.
*/
export type OriginNetwork = {
	readonly members: readonly Member[];
	now(): number;
	pass(ms: number): void;
	origins(index: number): StreamOrigins;
	/**
	Replaces a node by one without memory.
	*/
	restart(index: number): void;
	/**
	Finds an origin and lets time pass until the search has ended.
	*/
	search(index: number, requestId: string): StreamOrigin | undefined;
	/**
	Number of messages sent so far.
	*/
	messages(): number;
};

/**
Options of `createOriginNetwork`.
*/
export type OriginNetworkOptions = {
	readonly members: readonly Member[];
	readonly regionOf: (zone: string) => string;
	/**
	Whether a message from one node to another is lost.
	*/
	readonly isLost?: (from: string, to: string) => boolean;
};

const nearMs = 2;
const farMs = 55;
const stepMs = 5;
const searchMs = 400;

/**
Creates the network.
*/
export const createOriginNetwork = (
	t: TestContext,
	{members, regionOf, isLost = () => false}: OriginNetworkOptions,
): OriginNetwork => {
	t.mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	let messages = 0;
	const nodes = new Map<string, StreamOrigins>();

	const deliver = (from: Member, to: Member, message: StreamOriginMessage) => {
		messages += 1;
		if (isLost(from.id, to.id)) {
			return;
		}

		const isNear =
			regionOf(from.availabilityZone) === regionOf(to.availabilityZone);
		setTimeout(
			() => {
				nodes.get(to.id)!.receive(message);
			},
			isNear ? nearMs : farMs,
		);
	};

	const start = (member: Member) => {
		const others = members.filter(({id}) => id !== member.id);
		nodes.set(
			member.id,
			createStreamOrigins({
				self: member.id,
				holders: createOriginHolders({
					self: () => member,
					usable: () => others,
					regionOf,
				}),
				memberOf: (id) => others.find((other) => other.id === id),
				send(recipients, message) {
					for (const recipient of recipients) {
						deliver(member, recipient, message);
					}
				},
				clock: () => now,
			}),
		);
	};

	for (const member of members) {
		start(member);
	}

	const pass = (ms: number) => {
		for (let passed = 0; passed < ms; passed += stepMs) {
			now += stepMs;
			t.mock.timers.tick(stepMs);
		}
	};

	return {
		members,
		now: () => now,
		pass,
		origins: (index) => nodes.get(members[index]!.id)!,
		restart(index) {
			start(members[index]!);
		},
		search(index, requestId) {
			const results: Array<StreamOrigin | undefined> = [];
			nodes.get(members[index]!.id)!.find(requestId, Infinity, (origin) => {
				results.push(origin);
			});
			for (
				let waited = 0;
				results.length === 0 && waited < searchMs;
				waited += stepMs
			) {
				pass(stepMs);
			}

			return results[0];
		},
		messages: () => messages,
	};
};
