export type * from './stream-origin.ts';
export * from './origin-key.ts';
export * from './origin-table.ts';
export * from './origin-holders.ts';
export * from './origin-lookups.ts';
export * from './stream-origins.ts';
export * from './version-history.ts';
export * from './decide-continuation.ts';
