export * from './connection-warmer.ts';
export * from './delivery.ts';
export type {HedgeChange} from './delivery-context.ts';
export * from './hop.ts';
export * from './peer-connections.ts';
export * from './route-durations.ts';
export * from './server-probes.ts';
