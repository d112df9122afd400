/* eslint-disable camelcase, jsdoc/require-param -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// The platform's metadata store: `GET /kv-range`, `GET /kv-watch` and `GET /kv-key`.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const answerMs = 4;
const pageItems = 500;

/**
Starts an empty store.
*/
export const startStore = async (ip, port = 8142) => {
	const items = new Map();
	const history = [];
	const waiters = new Set();
	let revision = 0;
	// Set by a test to answer a call itself; returns true if it did.
	const fault = {intercept: undefined};

	const write = (key, value) => {
		revision += 1;
		const known = items.get(key);
		if (value === undefined) {
			items.delete(key);
			history.push({key, revision, removed: true});
		} else {
			const item = {
				key,
				value: Buffer.from(JSON.stringify(value)).toString('base64'),
				revision,
				create_revision: known?.create_revision ?? revision,
				lease: 0,
			};
			items.set(key, item);
			history.push(item);
		}

		for (const wake of waiters) {
			wake();
		}

		return revision;
	};

	const send = (response, status, body) => {
		const text = JSON.stringify(body);
		setTimeout(() => {
			response.writeHead(status, {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(text),
			});
			response.end(text);
		}, answerMs);
	};

	const range = (query, response) => {
		const prefix = query.get('path_prefix') ?? '';
		const after = query.get('after') ?? '';
		const keys = items
			.keys()
			.filter((key) => key.startsWith(prefix) && key > after)
			.toArray()
			.toSorted((left, right) => left.localeCompare(right, 'en'));
		const found = keys.map((key) => items.get(key));
		send(response, 200, {
			items: found.slice(0, pageItems),
			truncated: found.length > pageItems,
			as_of: revision,
		});
	};

	const watch = async (query, response) => {
		const prefix = query.get('path_prefix') ?? '';
		const after = Number(query.get('after'));
		const eventsNow = () =>
			history.filter(
				(item) => item.revision > after && item.key.startsWith(prefix),
			);
		if (eventsNow().length === 0) {
			await new Promise((resolve) => {
				const wake = () => {
					clearTimeout(timer);
					waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Number(query.get('wait_ms') ?? 0));
				waiters.add(wake);
			});
		}

		send(response, 200, {events: eventsNow(), as_of: revision});
	};

	const server = createServer((request, response) => {
		if (fault.intercept?.(request, response)) {
			return;
		}

		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/kv-range': {
				range(searchParams, response);
				return;
			}

			case '/kv-watch': {
				watch(searchParams, response);
				return;
			}

			case '/kv-key': {
				const item = items.get(searchParams.get('key'));
				send(response, item ? 200 : 404, {...item, as_of: revision});
				return;
			}

			default: {
				send(response, 404, {});
			}
		}
	});
	await new Promise((resolve) => {
		server.listen(port, ip, resolve);
	});
	return {
		address: `${ip}:${port}`,
		put: write,
		remove: (key) => write(key, undefined),
		fault,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};
