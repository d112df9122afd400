import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import type {ConfigurationStamp} from '../configuration/index.ts';
import type {DigestEntry} from '../digests/index.ts';
import type {Member} from '../membership/index.ts';
import type {NodeReport} from '../reporting/index.ts';

/**
What a node that joins or wakes asks of another.
*/
export type PeerState = {
	readonly members: readonly Member[];
	readonly digests: readonly DigestEntry[];
	readonly stamp: ConfigurationStamp;
};

/**
Answers the calls of other nodes.
*/
export type PeerAnswers = {
	state(availabilityZone: string): PeerState;
	/**
	The text of the configuration in force, or undefined before the first.
	*/
	configuration(): string | undefined;
	report(): NodeReport;
};

/**
What each call carries besides its input.
*/
export type PeerContext = {readonly isPeer: boolean};

const trpc = initTRPC.context<PeerContext>().create();

const peerProcedure = trpc.procedure.use(async ({ctx, next}) => {
	if (!ctx.isPeer) {
		throw new TRPCError({
			code: 'UNAUTHORIZED',
			message: 'The peer key is missing or wrong',
		});
	}

	return next();
});

/**
Builds the typed calls between nodes; all of them only read.
*/
export const createPeerRouter = (answers: PeerAnswers) =>
	trpc.router({
		state: peerProcedure
			.input(z.object({availabilityZone: z.string()}))
			.query(({input}) => answers.state(input.availabilityZone)),
		configuration: peerProcedure.query(() => ({text: answers.configuration()})),
		report: peerProcedure.query(() => answers.report()),
	});

/**
The type of the calls, from which clients are derived.
*/
export type PeerRouter = ReturnType<typeof createPeerRouter>;
