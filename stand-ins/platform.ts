// Simulated platform: configuration service, VM list, client directory and weight store.
// Usage: node stand-ins/platform.ts --address IP:PORT
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseArgs} from 'node:util';
import {listen, readText, sendJson, sleep} from './http-server.ts';

type Faults = {
	/**
	Whether the platform closes every connection without an answer.
	*/
	isDown: boolean;
	/**
	Index, in order of publication, of the document to serve instead of the latest one.
	*/
	staleIndex: number | undefined;
	/**
	Whether the served VM list ignores updates.
	*/
	isListFrozen: boolean;
};

const faults: Faults = {
	isDown: false,
	staleIndex: undefined,
	isListFrozen: false,
};
const documents: Array<{readonly version: number; readonly text: string}> = [];
const counts: Record<string, number> = {};
const pollMs = 50;
let vms: unknown[] = [];
let listedVms: unknown[] = [];
let weights: unknown[] = [];

const current = () => documents.at(faults.staleIndex ?? -1);

const versionOf = (text: string): number =>
	Number(/"?version"?:\s*(?<version>\d+)/v.exec(text)?.groups?.version ?? 0);

const answerConfiguration = async (url: URL, response: ServerResponse) => {
	const after = Number(url.searchParams.get('after') ?? 0);
	const deadline = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
	while (!faults.isDown) {
		const document = current();
		// A stale service does not know the later document that the requester has, so it serves its own.
		if (
			document &&
			document.version !== after &&
			(document.version > after || faults.staleIndex !== undefined)
		) {
			response
				.writeHead(200, {'content-type': 'text/plain'})
				.end(document.text);
			return;
		}

		if (Date.now() >= deadline) {
			response.writeHead(204).end();
			return;
		}

		await sleep(pollMs);
	}

	response.destroy();
};

const control = async (
	url: URL,
	request: IncomingMessage,
	response: ServerResponse,
) => {
	const text = await readText(request);
	switch (url.pathname) {
		case '/control/configuration': {
			documents.push({version: versionOf(text), text});
			break;
		}

		case '/control/vms': {
			vms = JSON.parse(text) as unknown[];
			listedVms = faults.isListFrozen ? listedVms : vms;
			break;
		}

		case '/control/weights': {
			weights = JSON.parse(text) as unknown[];
			break;
		}

		case '/control/faults': {
			Object.assign(faults, {staleIndex: undefined}, JSON.parse(text));
			listedVms = faults.isListFrozen ? listedVms : vms;
			break;
		}

		default: {
			break;
		}
	}

	sendJson(response, 200, {counts, documents: documents.length});
};

const handle = async (request: IncomingMessage, response: ServerResponse) => {
	const url = new URL(request.url ?? '/', 'http://platform');
	if (url.pathname.startsWith('/control/')) {
		await control(url, request, response);
		return;
	}

	counts[url.pathname] = (counts[url.pathname] ?? 0) + 1;
	if (faults.isDown) {
		response.destroy();
		return;
	}

	switch (url.pathname) {
		case '/v1/configuration': {
			await answerConfiguration(url, response);
			return;
		}

		case '/v1/vms': {
			sendJson(response, 200, {vms: listedVms});
			return;
		}

		case '/v1/directory': {
			const entries = (
				vms as Array<{kind: string; callerAddress: string}>
			).filter(({kind}) => kind === 'entry');
			sendJson(response, 200, {
				entryVms: entries.map(({callerAddress}) => `http://${callerAddress}`),
			});
			return;
		}

		case '/v1/weights': {
			sendJson(response, 200, {weights});
			return;
		}

		default: {
			sendJson(response, 404, {});
		}
	}
};

const {values} = parseArgs({options: {address: {type: 'string'}}});
await listen(values.address!, handle);
