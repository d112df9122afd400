export * from './load-publisher.ts';
export * from './node-joiner.ts';
export * from './node-state.ts';
export * from './node-shares.ts';
export * from './demand-sharing.ts';
export * from './origin-sharing.ts';
