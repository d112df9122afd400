import type {Logger} from '../logging/index.ts';
import type {Address} from '../shared/index.ts';
import {decideBindRetry} from './decide-bind-retry.ts';
import type {SocketUse} from './socket-use.ts';

/**
Opens a socket at an address.

@param open Makes one attempt; rejects with the error of the operating system.
*/
export type BindAddress = <Socket>(
	use: SocketUse,
	address: Address,
	open: () => Promise<Socket>,
) => Promise<Socket>;

/**
Opens the sockets of a node that starts. An address may be in use for some time: a predecessor that has been killed or is still
shutting down holds it, or an outgoing connection was given its port.
*/
export type AddressBinder = {
	/**
	Opens a socket without which the node cannot serve. Tries again for `bindTimeoutMs`, then throws an error that says what to do.
	*/
	readonly bind: BindAddress;
	/**
	Opens a socket without which the node can serve. Tries again until the node stops.
	*/
	readonly bindOptional: BindAddress;
	/**
	Ends all waits, which throw, and makes later attempts single ones.
	*/
	stop(): void;
};

/**
Options of `createAddressBinder`.
*/
export type AddressBinderOptions = {
	readonly logger: Logger;
	/**
	Milliseconds of a monotonic clock.
	*/
	readonly clock: () => number;
	/**
	Waits for a time in milliseconds; a timer if omitted.
	*/
	readonly sleep?: (milliseconds: number) => Promise<void>;
};

/**
Makes one attempt.
*/
export const bindOnce: BindAddress = async (_use, _address, open) => open();

/**
Creates a binder.
*/
export const createAddressBinder = ({
	logger,
	clock,
	sleep = sleepByTimer,
}: AddressBinderOptions): AddressBinder => {
	const startedAt = clock();
	let isStopped = false;

	const bindWith =
		(isRequired: boolean): BindAddress =>
		async (use, address, open) => {
			const firstAt = clock();
			let loggedCode: string | undefined;
			for (;;) {
				try {
					const socket = await open();
					logger.info(
						{
							use,
							address,
							waitedMs: Math.round(clock() - firstAt),
							sinceStartMs: Math.round(clock() - startedAt),
						},
						'listening',
					);
					return socket;
				} catch (error) {
					const {code, message} = error as NodeJS.ErrnoException;
					const waitedMs = Math.round(clock() - firstAt);
					const retry = decideBindRetry({
						code,
						waitedMs,
						isRequired,
						isStopped,
					});
					if (retry.kind === 'give-up') {
						if (!isStopped) {
							logger.error(
								{use, address, code, isRequired, waitedMs},
								'address cannot be bound',
							);
						}

						throw new Error(
							`Cannot listen on ${address} for ${use} (${code ?? message}, tried for ${waitedMs} ms): ${retry.reason}`,
							{cause: error},
						);
					}

					if (code !== loggedCode) {
						loggedCode = code;
						logger.warn(
							{use, address, code, isRequired, waitedMs},
							'address cannot be bound; trying again',
						);
					}

					await sleep(retry.afterMs);
				}
			}
		};

	return {
		bind: bindWith(true),
		bindOptional: bindWith(false),
		stop() {
			isStopped = true;
		},
	};
};

const sleepByTimer = async (milliseconds: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
