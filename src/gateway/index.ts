export * from './gateway.ts';
export {loadIntervalMs} from './load-statement.ts';
export {joinIntervalMs, rejoinIntervalMs} from './node-joiner.ts';
export * from './wire-headers.ts';
