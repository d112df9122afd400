export * from './engine-client.ts';
