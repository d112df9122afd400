export type * from './socket-use.ts';
export * from './address-binder.ts';
export * from './decide-bind-retry.ts';
