export * from './upstream-client.ts';
export * from './cold-limit.ts';
export * from './prompt-memory.ts';
export type * from './placement.ts';
export * from './server-state.ts';
export * from './backend-attempt.ts';
export * from './choose-server.ts';
export * from './backend-fleet.ts';
