export type * from './registry-entry.ts';
export type * from './mirror-change.ts';
export * from './registry-history.ts';
export * from './registry-servers.ts';
export * from './registry-mirror.ts';
export * from './registry-follower.ts';
export * from './registry-relay.ts';
export * from './server-life.ts';
