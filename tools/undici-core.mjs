// What the node of the platform uses of undici, without the rest of that library: fetch, caches, sockets
// and mocks are half of it and would be read at each start. The build puts it in the place of 'undici'.
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import callRequest from 'undici/lib/api/api-request.js';

Dispatcher.prototype.request = callRequest;

const request = (target, {dispatcher, ...options}) => {
	const {origin, pathname, search} = new URL(target);
	return dispatcher.request({
		method: 'GET',
		...options,
		origin,
		path: `${pathname}${search}`,
	});
};

export {request};
export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
