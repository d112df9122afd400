// The subset of undici that a platform node uses. The build substitutes this module for 'undici', because
// fetch, caches, web sockets and mocks make up half of the library and would be parsed at each start.
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
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
