export * from './withdraw-unless.ts';
export * from './engine-client.ts';
