export type * from './registry-entry.ts';
export * from './registry-mirror.ts';
export * from './registry-follower.ts';
export * from './registry-relay.ts';
export * from './server-life.ts';
