import type {Outcome} from '../../errors/index.ts';
import {
	decodeHeaderText,
	encodeHeaderText,
	parseDecimal,
} from '../../shared/index.ts';
import type {Hop, RequestClient} from '../exchange.ts';

/**
Headers that two nodes exchange about a forwarded request. They are never sent to callers or backend servers. Names and ids, which
operators choose, are percent-encoded.
*/
export const hopHeaders = {
	origin: 'quillford-hop-origin',
	/**
	Version of the routes that the origin node applied.
	*/
	version: 'quillford-hop-version',
	route: 'quillford-hop-route',
	service: 'quillford-hop-service',
	remainingMs: 'quillford-hop-remaining-ms',
	excluded: 'quillford-hop-excluded',
	wait: 'quillford-hop-wait',
	/**
	Name of the client account, and the digest of the key by which the origin node identified it.
	*/
	client: 'quillford-hop-client',
	keyDigest: 'quillford-hop-key-digest',
	/**
	In responses: whether a backend server answered or the node refused the request.
	*/
	result: 'quillford-hop-result',
	outcome: 'quillford-hop-outcome',
	reason: 'quillford-hop-reason',
	/**
	In responses: the backend servers that the request was sent to.
	*/
	tried: 'quillford-hop-tried',
	/**
	In refusals by a node whose servers are all in backoff: the time until the first backoff ends, in milliseconds.
	*/
	roomInMs: 'quillford-hop-room-in-ms',
	/**
	In refusals by a node that exits before the request would end: `true`. Other nodes of its region may serve the request.
	*/
	leaving: 'quillford-hop-leaving',
	/**
	In responses of backend servers: the incarnation of the server.
	*/
	life: 'quillford-hop-life',
	/**
	In requests: the version of the servers' software that the request is bound to, if any. In responses of backend servers: the
	version of the server's software.
	*/
	softwareVersion: 'quillford-hop-software-version',
} as const;

/**
The names of all hop headers.
*/
export const hopHeaderNames: ReadonlySet<string> = new Set(
	Object.values(hopHeaders),
);

/**
What a node reports with its response to a forwarded request.
*/
export type HopResult =
	| {readonly kind: 'answered'; readonly tried: readonly string[]}
	| {
			readonly kind: 'refused';
			readonly outcome: Outcome;
			readonly reason: string;
			readonly tried: readonly string[];
			/**
			Set if all servers of the node are in backoff: the time until the first backoff ends, in milliseconds.
			*/
			readonly availableInMs: number | undefined;
			/**
			Whether the node refused because it is leaving. Nodes of earlier versions never state so.
			*/
			readonly isLeaving: boolean;
	  };

/**
What a node sends with a request that it forwards.
*/
export type HopCall = {
	readonly origin: string;
	readonly version: number;
	readonly route: string;
	readonly service: string;
	readonly remainingMs: number;
	readonly excluded: readonly string[];
	/**
	Whether the receiver may queue the request. If not, the origin may know a better target.
	*/
	readonly canWait: boolean;
	/**
	The only version of the servers' software that may run the request; undefined if any may.
	*/
	readonly softwareVersion: string | undefined;
	/**
	The account according to that version of the routes; undefined if they require no key.
	*/
	readonly client: RequestClient | undefined;
};

type HeaderReader = (name: string) => string | undefined;

/**
Encodes the headers of a forwarded request.
*/
export const encodeHopCall = (call: HopCall): readonly string[] => [
	hopHeaders.origin,
	encodeHeaderText(call.origin),
	hopHeaders.version,
	String(call.version),
	hopHeaders.route,
	encodeHeaderText(call.route),
	hopHeaders.service,
	encodeHeaderText(call.service),
	hopHeaders.remainingMs,
	String(Math.max(1, Math.round(call.remainingMs))),
	hopHeaders.excluded,
	encodeList(call.excluded),
	hopHeaders.wait,
	String(call.canWait),
	...encodeSoftwareVersion(call.softwareVersion),
	...(call.client
		? [
				hopHeaders.client,
				encodeHeaderText(call.client.name),
				hopHeaders.keyDigest,
				call.client.keyDigest,
			]
		: []),
];

/**
Whether a request was forwarded by a node. Nodes remove the headers that tell so from the requests of callers.
*/
export const isForwarded = (header: HeaderReader): boolean =>
	header(hopHeaders.origin) !== undefined &&
	header(hopHeaders.service) !== undefined;

/**
Decodes the headers of a forwarded request. Returns undefined for any other request.
*/
export const decodeHopCall = (
	header: HeaderReader,
): (HopCall & Hop) | undefined => {
	const origin = header(hopHeaders.origin);
	const service = header(hopHeaders.service);
	if (origin === undefined || service === undefined) {
		return undefined;
	}

	return {
		origin: decodeHeaderText(origin),
		service: decodeHeaderText(service),
		version: Number(header(hopHeaders.version) ?? 0),
		route: decodeHeaderText(header(hopHeaders.route) ?? ''),
		remainingMs: Number(header(hopHeaders.remainingMs) ?? 0),
		excluded: decodeList(header(hopHeaders.excluded)),
		canWait: header(hopHeaders.wait) === 'true',
		softwareVersion: decodeSoftwareVersion(header),
		client: clientOf(header),
	};
};

const clientOf = (header: HeaderReader): RequestClient | undefined => {
	const name = header(hopHeaders.client);
	const keyDigest = header(hopHeaders.keyDigest);
	return name === undefined || keyDigest === undefined
		? undefined
		: {name: decodeHeaderText(name), keyDigest};
};

/**
Encodes the headers of a response to a forwarded request.
*/
export const encodeHopResult = (result: HopResult): readonly string[] => [
	hopHeaders.result,
	result.kind,
	hopHeaders.tried,
	encodeList(result.tried),
	...(result.kind === 'refused'
		? [
				hopHeaders.outcome,
				result.outcome,
				hopHeaders.reason,
				result.reason.replaceAll(/[^\u{20}-\u{7E}]/gv, ' '),
				...(result.availableInMs === undefined
					? []
					: [hopHeaders.roomInMs, String(Math.round(result.availableInMs))]),
				...(result.isLeaving ? [hopHeaders.leaving, 'true'] : []),
			]
		: []),
];

/**
Decodes the headers of a response to a forwarded request. A response without a result proves nothing about whether the
request has run.
*/
export const decodeHopResult = (header: HeaderReader): HopResult => {
	const tried = decodeList(header(hopHeaders.tried));
	if (header(hopHeaders.result) === 'answered') {
		return {kind: 'answered', tried};
	}

	const outcome = header(hopHeaders.outcome);
	return {
		kind: 'refused',
		outcome: outcome === 'not-run' || outcome === 'ran' ? outcome : 'unknown',
		reason: header(hopHeaders.reason) ?? 'the node gave no result',
		tried,
		availableInMs: parseDecimal(header(hopHeaders.roomInMs) ?? ''),
		isLeaving: header(hopHeaders.leaving) === 'true',
	};
};

/**
Encodes the header with the version of a server's software; no header if it is unknown.
*/
export const encodeSoftwareVersion = (
	softwareVersion: string | undefined,
): readonly string[] =>
	softwareVersion === undefined
		? []
		: [hopHeaders.softwareVersion, encodeHeaderText(softwareVersion)];

/**
Decodes the header with the version of a server's software. Returns undefined if it is missing. A malformed version is returned as
it is, so that it matches no server.
*/
export const decodeSoftwareVersion = (
	header: HeaderReader,
): string | undefined => {
	const encoded = header(hopHeaders.softwareVersion);
	return encoded === undefined ? undefined : decodeHeaderText(encoded);
};

const encodeList = (texts: readonly string[]): string =>
	texts.map((text) => encodeHeaderText(text)).join(',');

const decodeList = (list: string | undefined): readonly string[] =>
	(list ?? '')
		.split(',')
		.filter((part) => part !== '')
		.map((part) => decodeHeaderText(part));
