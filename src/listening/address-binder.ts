import type {Logger} from '../logging/index.ts';
import type {Address} from '../shared/index.ts';
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
Makes one attempt.
*/
export const bindOnce: BindAddress = async (_use, _address, open) => open();

/**
Opens the sockets of a node that starts.
*/
export type AddressBinder = {
	readonly bind: BindAddress;
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
};

/**
Creates a binder.
*/
export const createAddressBinder = ({
	logger,
	clock,
}: AddressBinderOptions): AddressBinder => {
	const startedAt = clock();
	const sinceStart = () => Math.round(clock() - startedAt);

	return {
		async bind(use, address, open) {
			try {
				const socket = await open();
				logger.info({use, address, sinceStartMs: sinceStart()}, 'listening');
				return socket;
			} catch (error) {
				const {code} = error as NodeJS.ErrnoException;
				logger.error(
					{use, address, code, sinceStartMs: sinceStart()},
					'address cannot be bound',
				);
				throw error;
			}
		},
	};
};
