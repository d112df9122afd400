/* eslint-disable camelcase, jsdoc/require-param, jsdoc/require-param-type -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// A worker: it runs what it is sent as its test says, keeps its entry in the store and answers its health path.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const heartbeatMs = 1200;

/**
Starts a worker.

@param options
@param options.store The store that holds its entry.
@param options.id Its id.
@param options.ip The address on which it listens.
@param options.service The service to which it belongs.
@param options.zone Its zone.
@param options.slots Requests that it runs at a time.
@param options.run Runs a request: `run({request, body, response, signed, end})`. It must call `end` when its work has ended.
*/
export const startWorker = async ({
	store,
	id,
	ip,
	port = 8080,
	service,
	zone,
	slots,
	queue = slots * 3,
	version = 'v1',
	run,
}) => {
	const arrivals = [];
	const waiting = [];
	let running = 0;
	let sequence = 0;
	let state = 'ready';

	const refuse = (response, status, headers) => {
		response.writeHead(status, {'content-length': 0, ...headers});
		response.end();
	};

	const start = (call) => {
		running += 1;
		call.arrival.startedAt = performance.now();
		let isOver = false;
		const end = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			running -= 1;
			call.arrival.endedAt = performance.now();
			const next = waiting.shift();
			if (next) {
				start(next);
			}
		};

		run({...call, end});
	};

	const receive = (request, response, body) => {
		const attemptId = request.headers['x-quillford-attempt-id'];
		const arrival = {
			attemptId,
			at: performance.now(),
			startedAt: undefined,
			endedAt: undefined,
			headers: request.headers,
			method: request.method,
			target: request.url,
			bytes: body.length,
		};
		arrivals.push(arrival);
		const echo = {'X-Quillford-Attempt-Id': attemptId ?? ''};
		const expected = request.headers['x-quillford-expect-instance'];
		if (expected !== undefined && expected !== id) {
			refuse(response, 421, {...echo, 'X-Quillford-Instance-Id': id});
			return;
		}

		if (attemptId === undefined) {
			refuse(response, 400, {'X-Quillford-Not-Executed': '1'});
			return;
		}

		const signed = {
			...echo,
			'X-Quillford-Response-Signature': `s.${attemptId}.${id}`,
		};
		const call = {request, body, response, signed, arrival};
		if (running < slots) {
			start(call);
		} else if (waiting.length < queue) {
			waiting.push(call);
			response.once('close', () => {
				const index = waiting.indexOf(call);
				if (index !== -1) {
					waiting.splice(index, 1);
				}
			});
		} else {
			refuse(response, 503, {...echo, 'X-Quillford-Not-Executed': '1'});
		}
	};

	const server = createServer({keepAliveTimeout: 5000}, (request, response) => {
		if (request.url === '/healthz') {
			refuse(response, state === 'ready' ? 200 : 503, {
				'X-Quillford-Instance-Id': id,
			});
			return;
		}

		if (request.url.startsWith('/kv-events')) {
			setTimeout(
				() => {
					const text = JSON.stringify({
						epoch: id,
						next_token: 0,
						lost: false,
						events: [],
					});
					response.end(text);
				},
				Number(request.headers['wait-ms'] ?? 0),
			);
			return;
		}

		const parts = [];
		request.on('data', (part) => {
			parts.push(part);
		});
		request.on('error', () => undefined);
		request.on('end', () => {
			receive(request, response, Buffer.concat(parts));
		});
	});
	await new Promise((resolve) => {
		server.listen(port, ip, resolve);
	});

	const beat = () => {
		sequence += 1;
		store.put(`servers/${id}`, {
			service,
			address: `${ip}:${port}`,
			zone,
			version,
			slots,
			state,
			cold_left_ms: 0,
			stage: 'both',
			models: [{name: 'm', version: 1, adapters: []}],
			sequence,
		});
	};

	beat();
	const timer = setInterval(beat, heartbeatMs);
	return {
		id,
		arrivals,
		running: () => running,
		drain() {
			state = 'draining';
			beat();
		},
		close() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
};
