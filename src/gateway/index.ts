export * from './gateway.ts';
export type * from './gateway-options.ts';
export {loadIntervalMs} from './load-statement.ts';
export {joinIntervalMs, rejoinIntervalMs} from './node-joiner.ts';
export {
	assumedNodes,
	connectionPart,
	minimumSharers,
	settlingMs,
} from './node-shares.ts';
export {freshRoutesMs} from './request-handling.ts';
export {gatewayTickMs, waitingTickMs} from './tick-schedule.ts';
export * from './wire-headers.ts';
export * from './product-headers.ts';
