export * from './upstream-client.ts';
export * from './cold-limit.ts';
export * from './prompt-memory.ts';
export * from './backend-fleet.ts';
