import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {DigestEntry} from '../digests/index.ts';
import type {Member} from '../membership/index.ts';
import type {NodeReport} from '../reporting/index.ts';

/**
State that a node requests from a peer when it joins or resumes after a pause.
*/
export type PeerState = {
	readonly members: readonly Member[];
	readonly digests: readonly DigestEntry[];
	readonly stamp: ConfigurationStamp;
};

/**
Handlers for the calls of other nodes.
*/
export type PeerCallHandlers = {
	state(availabilityZone: string): PeerState;
	/**
	Returns the text of the active configuration, or undefined before the first configuration.
	*/
	configuration(): string | undefined;
	report(): NodeReport;
};

/**
Context of each call.
*/
export type PeerContext = {readonly isPeer: boolean};

const trpc = initTRPC.context<PeerContext>().create();

const peerProcedure = trpc.procedure.use(async ({ctx, next}) => {
	if (!ctx.isPeer) {
		throw new TRPCError({
			code: 'UNAUTHORIZED',
			message: 'The peer key is missing or invalid',
		});
	}

	return next();
});

/**
Creates the router for typed calls between nodes. All calls are read-only.
*/
export const createPeerRouter = (handlers: PeerCallHandlers) =>
	trpc.router({
		state: peerProcedure
			.input(z.object({availabilityZone: z.string()}))
			.query(({input}) => handlers.state(input.availabilityZone)),
		configuration: peerProcedure.query(() => ({
			text: handlers.configuration(),
		})),
		report: peerProcedure.query(() => handlers.report()),
	});

/**
The router type from which clients derive the types of their calls.
*/
export type PeerRouter = ReturnType<typeof createPeerRouter>;
