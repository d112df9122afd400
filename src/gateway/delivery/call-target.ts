import {
	backendConnectTimeoutMs,
	peerConnectTimeoutMs,
	type Placement,
	type UpstreamCall,
	type UpstreamListener,
} from '../../backends/index.ts';
import {incarnationIdOf, softwareVersionOf} from '../../registry/index.ts';
import {maximumForwardedHeadBytes} from '../../mesh/index.ts';
import type {UpstreamChoice} from '../choosing/choose-upstream.ts';
import {toHeaderValue} from '../../shared/index.ts';
import {lastEventIdHeader, leastUrgent} from '../wire-headers.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {encodeHopCall} from './hop.ts';
import {
	maximumConnectionsPerPeer,
	peerConnectionKey,
} from './peer-connections.ts';

/**
A target that accepts a request now.
*/
export type CallTarget = Extract<
	UpstreamChoice,
	{readonly kind: 'server' | 'peer'}
>;

/**
How a request is sent to a target.
*/
export type Sending = {
	readonly placement: Placement;
	/**
	Receives the call that is about to begin, and returns the listener of its response.
	*/
	readonly begin: (call: CurrentCall) => UpstreamListener;
};

/**
Sends a request to a target.
*/
export const callTarget = (
	context: DeliveryContext,
	run: DeliveryRun,
	target: CallTarget,
	sending: Sending,
): void => {
	switch (target.kind) {
		case 'server': {
			callServer(context, run, target.id, sending);
			return;
		}

		case 'peer': {
			callNode(context, run, target, sending);
		}
	}
};

// Sends the urgency with the request. Without it, engines treat all requests alike, and short ones queue behind long ones.
const callServer = (
	context: DeliveryContext,
	run: DeliveryRun,
	id: string,
	{placement, begin}: Sending,
): void => {
	const {
		clock,
		connectionShare,
		fleet,
		headers,
		canSend,
		announcements,
		without,
	} = context;
	const sentAt = clock();
	const server = fleet.server(id)!;
	const attempt = fleet.begin(id, placement, sentAt);
	const start = {
		load: fleet.loadAt(id, sentAt),
		remainingMs: run.exchange.expiresAt - sentAt,
	};
	const incarnationId = incarnationIdOf(server);
	announcements.recordSend(incarnationId, sentAt);
	run.excluded.add(id);
	run.triedServers.push(id);
	const softwareVersion = softwareVersionOf(server);
	run.steps.push(`server ${id} (software ${softwareVersion})`);
	const {client, service} = run.exchange;
	const connections = connectionShare(service, id);
	const urgency = Math.min(leastUrgent, run.exchange.route.priority);
	startCall(
		context,
		run,
		{
			attempt,
			server: id,
			incarnationId,
			sentAt,
			member: undefined,
			region: undefined,
			softwareVersion,
			start,
		},
		{
			key: `server ${id}`,
			address: server.address,
			maximumConnections: connections.maximum,
			isLastOnConnection: !connections.isPersistent,
			canBegin: () => canSend(id, incarnationId),
			connectTimeoutMs: backendConnectTimeoutMs,
			headers: nextHopHeaders(context, run, [
				headers.expectedServer,
				toHeaderValue(id),
				...(without.has('urgency') ? [] : [headers.urgency, String(urgency)]),
				...(client ? [headers.client, toHeaderValue(client.name)] : []),
			]),
			begin,
		},
	);
};

const callNode = (
	context: DeliveryContext,
	run: DeliveryRun,
	{member, region}: Extract<CallTarget, {readonly kind: 'peer'}>,
	{begin}: Sending,
): void => {
	const {exchange} = run;
	const remainingMs = exchange.expiresAt - context.clock();
	run.triedNodes.add(member.id);
	run.steps.push(`node ${member.id} in ${region}`);
	const hopCall = encodeHopCall({
		origin: context.self,
		version: context.routesVersion(),
		route: exchange.route.name,
		service: exchange.service,
		remainingMs,
		excluded: [...run.excluded],
		canWait:
			!context.isServedHere(exchange.route) ||
			context.isOnlyRegion(exchange, region) ||
			(run.origin !== undefined &&
				!context.fleet.hasVersion(
					run.origin.service,
					run.origin.softwareVersion,
				)),
		softwareVersion: run.origin?.softwareVersion,
		client: exchange.client,
	});
	startCall(
		context,
		run,
		{
			attempt: undefined,
			server: undefined,
			incarnationId: undefined,
			sentAt: context.clock(),
			member,
			region,
			softwareVersion: undefined,
			start: {load: undefined, remainingMs},
		},
		{
			key: peerConnectionKey(member),
			address: member.peerAddress,
			maximumConnections: maximumConnectionsPerPeer,
			connectTimeoutMs: peerConnectTimeoutMs,
			maximumHeadBytes: maximumForwardedHeadBytes,
			headers: nextHopHeaders(context, run, hopCall),
			begin,
		},
	);
};

const startCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	to: Omit<CurrentCall, 'open' | 'lastByteAt' | 'kept'>,
	{
		begin,
		...call
	}: Omit<UpstreamCall, 'method' | 'target' | 'body'> & Pick<Sending, 'begin'>,
): void => {
	const {method, target, body} = run.exchange;
	// `open` is assigned below, so the client must not notify the listener before `call` has returned.
	const current: CurrentCall = {
		...to,
		lastByteAt: undefined,
		kept: undefined,
		open: () => open,
	};
	const open = context.client.call(
		{...call, method, target, body},
		begin(current),
	);
};

// Returns the headers for the next hop: the caller's headers and those that the next hop needs.
const nextHopHeaders = (
	{clock, headers}: DeliveryContext,
	{exchange, relay}: DeliveryRun,
	extra: readonly string[],
): readonly string[] => {
	const resumeFrom = relay?.lastEventId() ?? exchange.lastEventId;
	const remainingMs = Math.max(1, Math.round(exchange.expiresAt - clock()));
	return [
		...exchange.headers,
		headers.remainingMs,
		String(remainingMs),
		...(resumeFrom === undefined ? [] : [lastEventIdHeader, resumeFrom]),
		...extra,
	];
};
