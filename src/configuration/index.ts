export * from './configuration.ts';
export * from './configuration-schema.ts';
export * from './parse-configuration.ts';
export * from './configuration-store.ts';
