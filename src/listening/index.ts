export type * from './socket-use.ts';
export * from './address-binder.ts';
