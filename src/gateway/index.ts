export * from './gateway.ts';
export type * from './gateway-options.ts';
export {loadIntervalMs} from './sharing/index.ts';
export {joinIntervalMs, rejoinIntervalMs} from './sharing/index.ts';
export {
	assumedNodes,
	connectionFraction,
	minimumSharingNodes,
	settlingMs,
} from './sharing/index.ts';
export {freshRoutesMs} from './request-handling.ts';
export {gatewayTickMs, waitingTickMs} from './tick-schedule.ts';
export * from './wire-headers.ts';
export * from './product-headers.ts';
