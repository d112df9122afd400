export * from './configuration.ts';
export * from './configuration-schema.ts';
export type * from './configuration-fault.ts';
export * from './parse-configuration.ts';
export * from './configuration-store.ts';
